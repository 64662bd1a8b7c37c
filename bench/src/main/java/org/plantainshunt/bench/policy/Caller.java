package org.plantainshunt.bench.policy;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.plantainshunt.bench.policy.Conditions.RepeatStyle;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

/**
 * Simulates the callers of one data centre: an open-loop load of requests to random nodes of that data centre.
 *
 * <p>Arrivals are evenly spaced, and each is then delayed at random by up to {@value #JITTER_INTERVALS} intervals. The
 * number of arrivals per second therefore hardly varies, and a change of goodput by 5 % can be distinguished from
 * noise. Confined to one thread.
 */
final class Caller {
    private static final int JITTER_INTERVALS = 20;
    private static final int MAX_POLITE_REPEATS = 2;
    private static final int MAX_HARD_REPEATS = 5;
    private static final long HARD_DELAY = 10 * VirtualClock.MILLISECOND;
    private static final long BASE_POLITE_DELAY = 200 * VirtualClock.MILLISECOND;

    private final Simulation simulation;
    private final RandomGenerator random;
    private final List<Node> nodes;
    private final double share;
    private long nextId;

    /**
     * Creates the callers of a data centre.
     *
     * @param nodes the nodes of the data centre
     * @param share the fraction of the total demand that comes from these callers
     * @param firstId the first request id; ids count up from here and must not overlap with those of other data centres
     */
    Caller(Simulation simulation, RandomGenerator random, List<Node> nodes, double share, long firstId) {
        this.simulation = simulation;
        this.random = random;
        this.nodes = nodes;
        this.share = share;
        this.nextId = firstId;
    }

    void start() {
        scheduleArrival();
    }

    private void scheduleArrival() {
        double second = (double) now() / VirtualClock.SECOND;
        double rate = simulation.conditions().demand().applyAsDouble(second) * share;
        long gap = (long) (VirtualClock.SECOND / rate);
        simulation.clock().schedule((long) (random.nextDouble() * gap * JITTER_INTERVALS), this::sendNew);
        simulation.clock().schedule(gap, this::scheduleArrival);
    }

    private void sendNew() {
        boolean straggler = random.nextDouble() < simulation.conditions().stragglerShare();
        Request request = new Request(nextId++, pickKind(), now(), now(), 1, 1, straggler);
        simulation.measurements().sent(request);
        send(request);
    }

    private KindProfile pickKind() {
        List<KindProfile> callerKinds = simulation.deployment().callerKinds();
        double point = random.nextDouble();
        for (KindProfile candidate : callerKinds) {
            point -= candidate.share();
            if (point < 0) {
                return candidate;
            }
        }
        return callerKinds.get(callerKinds.size() - 1);
    }

    private void send(Request request) {
        Node entryNode = nodes.get(random.nextInt(nodes.size()));
        Exchange exchange = new Exchange(request);
        long latency = simulation.deployment().callerLatencyNanos();
        simulation
                .clock()
                .schedule(
                        latency,
                        () -> entryNode.receiveRequest(request, reply -> {
                            simulation.measurements().chainEnded(request);
                            simulation.clock().schedule(latency, () -> exchange.replied(reply));
                        }));
        simulation.clock().schedule(request.deadline - now(), exchange::timedOut);
    }

    /** One attempt of a request, which ends with its reply or at its deadline, whichever comes first. */
    private final class Exchange {
        private final Request request;
        private boolean ended;

        Exchange(Request request) {
            this.request = request;
        }

        void replied(Reply reply) {
            if (ended) {
                return;
            }
            ended = true;
            if (reply.successful()) {
                simulation.measurements().completed(request, now());
            } else {
                failed(reply);
            }
        }

        void timedOut() {
            if (!ended) {
                ended = true;
                failed(Reply.failure(ResultCode.DEADLINE_PASSED_AFTER_HANDOVER, 0));
            }
        }

        private void failed(Reply reply) {
            simulation.measurements().failed(request, reply.code(), now());
            repeatDelay(reply).ifPresent(delay -> simulation.clock().schedule(delay, this::repeat));
        }

        private Optional<Long> repeatDelay(Reply reply) {
            if (simulation.conditions().repeatStyle() == RepeatStyle.HARD) {
                return request.attempt <= MAX_HARD_REPEATS ? Optional.of(HARD_DELAY) : Optional.empty();
            }
            if (request.attempt > MAX_POLITE_REPEATS || !isWorthRepeating(reply)) {
                return Optional.empty();
            }
            long delay = Math.max(
                    reply.retryAfterMilliseconds() * VirtualClock.MILLISECOND, BASE_POLITE_DELAY << request.attempt);
            return Optional.of((long) (delay * (1 + random.nextDouble())));
        }

        /**
         * Returns whether a polite caller repeats a request: after a refusal that gives a delay, and otherwise only if
         * the request may run more than once.
         *
         * <p>Work that was cancelled because it ran too long is not repeated: it would run too long again, and its
         * reply gives no delay for a repeat.
         */
        private boolean isWorthRepeating(Reply reply) {
            if (reply.code().runState() == RunState.NOT_RUN) {
                return reply.retryAfterMilliseconds() > 0;
            }
            return reply.code() != ResultCode.RAN_TOO_LONG
                    && !request.kindProfile.kind().atMostOnce();
        }

        private void repeat() {
            int attempt = request.attempt + 1;
            int declaredAttempt = simulation.conditions().repeatStyle() == RepeatStyle.HARD ? 1 : attempt;
            send(new Request(
                    request.id,
                    request.kindProfile,
                    request.firstSentAt,
                    now(),
                    attempt,
                    declaredAttempt,
                    request.straggler));
        }
    }

    private long now() {
        return simulation.clock().now();
    }
}
