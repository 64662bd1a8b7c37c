package org.plantainshunt.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.result.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Compares the queue with a simple model of the waiting and running calls under random schedules.
 *
 * <p>Guards against more running calls than slots, idle slots while calls wait, a start after the deadline, a call that
 * is lost or decided twice, a queue longer than configured, an expired call that takes space, and the refusal of a call
 * for lack of space while a less important one waits.
 */
class AdmissionQueuePropertyTest {
    private static final long MILLISECOND = 1_000_000L;

    /** The pauses between two actions, in milliseconds; the longest simulates a suspended process. */
    private static final int[] PAUSES = {0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 7, 7, 7, 60, 60, 3000};

    @Property(tries = 2000)
    void decisionsKeepTheInvariants(
            @ForAll @Size(min = 20, max = 300) List<@IntRange(max = 9_999_999) Integer> schedule) {
        Model model = new Model();
        schedule.forEach(model::perform);
    }

    /** The queue and the expected state of its calls. */
    private static final class Model {
        private final Set<CallEntry> waiting = new HashSet<>();
        private final List<CallEntry> running = new ArrayList<>();
        private final Set<CallEntry> cancelledLong = new HashSet<>();
        private final List<AdmissionQueue.Refused> refused = new ArrayList<>();
        private Service service = AdmissionModel.service(4, 6);
        private final AdmissionQueue queue = new AdmissionQueue(service, this::refused);
        private boolean draining;
        private long longestRun;
        /** The clock, which starts one second before it wraps around. */
        private long now = Long.MAX_VALUE - 1000 * MILLISECOND;

        private void refused(AdmissionQueue.Refused one) {
            refused.add(one);
            CallEntry entry = one.entry();
            assertFalse(running.contains(entry), "refused while it runs: " + one);
            int waited = waiting.remove(entry) ? 1 : 0;
            ResultCode code = one.refusal().code();
            assertEquals(RunState.NOT_RUN, code.runState());
            switch (code) {
                case OVERLOADED -> {
                    assertNoneLessImportant(entry);
                    assertTrue(running.size() + waiting.size() + waited >= queue.limit(), "slots are free: " + one);
                }
                case DEADLINE_TOO_SHORT -> assertTrue(entry.deadline() - now <= longestRun, one.toString());
                default -> assertTrue(draining, one.toString());
            }
        }

        private void assertNoneLessImportant(CallEntry entry) {
            for (CallEntry other : waiting) {
                assertTrue(importance(other) <= importance(entry), entry + " refused, but waits: " + other);
            }
        }

        /** Returns a number that is lower for more important calls: within a class, those that continue a request. */
        private static int importance(CallEntry entry) {
            int withinClass = entry.continues() ? -1 : entry.priority().cohort();
            return entry.priority().priorityClass().ordinal() * Priority.VALUES + withinClass;
        }

        /** Performs the action that the number encodes. */
        private void perform(int choice) {
            now += PAUSES[choice / 1000 % PAUSES.length] * MILLISECOND;
            int number = choice / 100;
            switch (choice % 30) {
                case 0, 1, 2, 3, 4, 5 -> finish(number);
                case 6, 7, 8 -> start();
                case 9, 10 -> cancel(number);
                case 11, 12 -> cancelLong();
                case 13 -> configure(number);
                case 14 -> drain(number % 3 == 0);
                default -> offer(number);
            }
            assertEquals(waiting.size(), queue.waiting());
            assertEquals(running.size(), queue.running());
            int free = Math.max(0, queue.limit() - queue.running());
            assertTrue(queue.waiting() <= service.queue() + free);
            assertTrue(queue.level() > 0 && queue.level() <= Priority.VALUES);
        }

        private void drain(boolean begin) {
            draining = begin;
            if (begin) {
                queue.drain();
                assertEquals(0, queue.waiting());
            } else {
                queue.reopen();
            }
        }

        private void offer(int number) {
            long deadline = now + (number % 7 == 0 ? number % 20 : 500) * MILLISECOND;
            Priority priority = Priority.ofValue(number % Priority.VALUES);
            CallEntry entry = new CallEntry(
                    "r" + number, priority, number % 5 == 0, "k" + number % 2, number % 3 == 0, deadline, now);
            refused.clear();
            Admission admission = queue.offer(entry, now);
            boolean slotFree = running.size() + waiting.size() + evicted(entry) < queue.limit();
            boolean reported = refused.stream().anyMatch(one -> one.entry() == entry);
            assertEquals(admission == Admission.REFUSE, reported);
            if (admission == Admission.START) {
                addRunning(entry);
            } else if (admission == Admission.WAIT) {
                waiting.add(entry);
                refused.stream()
                        .filter(one -> one.refusal().code() == ResultCode.OVERLOADED)
                        .forEach(one -> assertNoneLessImportant(one.entry()));
            }
            assertEquals(slotFree && !draining && deadline - now > 0, admission == Admission.START, entry.toString());
        }

        /** Returns how many other calls were evicted when this one was offered. */
        private int evicted(CallEntry entry) {
            return (int) refused.stream()
                    .filter(one -> one.entry() != entry && one.refusal().code() == ResultCode.OVERLOADED)
                    .count();
        }

        private void addRunning(CallEntry entry) {
            running.add(entry);
            assertTrue(running.size() <= queue.limit(), running.size() + " run, limit " + queue.limit());
            assertTrue(entry.deadline() - now > 0, "started too late: " + entry);
            assertEquals(now, entry.startedAt());
        }

        private void finish(int number) {
            if (running.isEmpty()) {
                return;
            }
            CallEntry entry = running.remove(number % running.size());
            longestRun = Math.max(longestRun, now - entry.startedAt());
            CallEnd end = number % 5 == 0 ? CallEnd.values()[number / 5 % 4] : CallEnd.ANSWERED;
            queue.finished(entry, end, now);
            queue.finished(entry, CallEnd.CANCELLED, now);
        }

        private void start() {
            for (CallEntry entry : queue.startable(now)) {
                assertTrue(waiting.remove(entry), "did not wait: " + entry);
                addRunning(entry);
                for (CallEntry other : waiting) {
                    assertTrue(other.priority()
                                    .priorityClass()
                                    .compareTo(entry.priority().priorityClass())
                            >= 0);
                }
            }
            assertTrue(waiting.isEmpty() || running.size() >= queue.limit(), "idle slots while calls wait");
            waiting.forEach(entry -> assertTrue(entry.deadline() - now > 0, "expired, but waits: " + entry));
        }

        private void cancel(int number) {
            List<CallEntry> known = new ArrayList<>(number % 2 == 0 ? waiting : running);
            if (!known.isEmpty()) {
                CallEntry entry = known.get(number % known.size());
                boolean waited = queue.cancel(entry, now);
                assertEquals(waiting.remove(entry), waited);
            }
        }

        private void cancelLong() {
            for (CallEntry entry : queue.callsToCancel(now)) {
                assertTrue(running.contains(entry) && !entry.atMostOnce(), entry.toString());
                assertTrue(cancelledLong.add(entry), "cancelled twice: " + entry);
                assertFalse(waiting.isEmpty());
                longestRun = Math.max(longestRun, now - entry.startedAt());
            }
            running.forEach(entry -> longestRun = Math.max(longestRun, now - entry.startedAt()));
        }

        private void configure(int number) {
            service = AdmissionModel.service(1 + number % 8, number % 10);
            queue.configure(service);
        }
    }
}
