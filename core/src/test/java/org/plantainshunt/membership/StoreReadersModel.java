package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.plantainshunt.membership.StoreReaders.Contact;

/** Simulates the nodes of one region that ask each other for their contact with the store, on a virtual clock. */
final class StoreReadersModel {
    static final int DEAD = 0;
    static final int FROZEN = 1;
    static final int CUT_FROM_STORE = 2;
    /** Cut from the store, and unaware of it until an answer of the store is overdue. */
    static final int SILENCED = 3;

    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long TICK = 100 * MILLISECOND;
    private static final long READ_TIME = 10 * MILLISECOND;
    /** The time between two answers of a store that has no changes. */
    private static final long ANSWER_INTERVAL = 1_500 * MILLISECOND;

    private static final long OVERDUE_AFTER = 300 * MILLISECOND;

    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byName = new HashMap<>();
    private final EventQueue events = new EventQueue();
    private final Random random;
    private long longestUninformed;
    private final Map<Long, Integer> newReadersBySecond = new HashMap<>();

    StoreReadersModel(int size, long seed) {
        random = new Random(seed);
        List<String> names =
                IntStream.range(0, size).mapToObj(index -> "vm-" + index).toList();
        for (String name : names) {
            Node node = new Node(name, new StoreReaders(name, new Random(seed + nodes.size())));
            node.readers.region(names);
            nodes.add(node);
            byName.put(name, node);
            events.after((long) (random.nextDouble() * TICK), node::tick);
        }
    }

    void run(double seconds) {
        events.run((long) (seconds * SECOND));
    }

    private long now() {
        return events.now();
    }

    void fail(int node, int fault) {
        nodes.get(node).fail(fault);
    }

    /** Lets a fault happen to each node that reads the store, with a probability. */
    void failReaders(double share, int fault) {
        for (Node node : nodes) {
            if (node.reading && random.nextDouble() < share) {
                node.fail(fault);
            }
        }
    }

    void recoverAll() {
        nodes.forEach(node -> node.fault = Optional.empty());
    }

    void resetMeasurement() {
        longestUninformed = 0;
        newReadersBySecond.clear();
    }

    long readingNodes() {
        return nodes.stream().filter(node -> node.reading).count();
    }

    /** Returns the longest time in which a working node neither read the store nor had a source that did. */
    double uninformedSeconds() {
        return longestUninformed / (double) SECOND;
    }

    int newReaders() {
        return newReadersBySecond.values().stream().mapToInt(Integer::intValue).sum();
    }

    int mostNewReadersInOneSecond() {
        return newReadersBySecond.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    private final class Node {
        private final String name;
        private final StoreReaders readers;
        private Optional<Integer> fault = Optional.empty();
        private boolean reading;
        private long readingSince;
        private long informedAt;
        private long noticesAt;
        private Optional<Contact> told = Optional.empty();

        Node(String name, StoreReaders readers) {
            this.name = name;
            this.readers = readers;
        }

        private void fail(int newFault) {
            fault = Optional.of(newFault);
            noticesAt = now() + (long) (random.nextDouble() * ANSWER_INTERVAL) + OVERDUE_AFTER;
        }

        private boolean works() {
            return fault.isEmpty() || fault.get() >= CUT_FROM_STORE;
        }

        private void tick() {
            events.after(TICK, this::tick);
            if (!works()) {
                reading = false;
                informedAt = now();
                return;
            }
            update();
            if (fault.isPresent() || isInformed()) {
                informedAt = now();
            }
            longestUninformed = Math.max(longestUninformed, now() - informedAt);
        }

        /** Does what a node does at each tick and after each message. */
        private void update() {
            boolean reads = readers.reads(now());
            if (reads && !reading) {
                readingSince = now();
                newReadersBySecond.merge(now() / SECOND, 1, Integer::sum);
                events.after(READ_TIME, this::tellFollowers);
            }
            reading = reads;
            tellFollowers();
            readers.nextRequest(now()).ifPresent(source -> send(byName.get(source), this::receiveRequest));
        }

        private void tellFollowers() {
            Optional<Contact> contact = reportedContact();
            if (!contact.equals(told)) {
                told = contact;
                contact.ifPresent(
                        known -> readers.followers(now()).forEach(follower -> report(byName.get(follower), known)));
            }
        }

        private Optional<Contact> reportedContact() {
            if (!reading || now() - readingSince < READ_TIME) {
                return Optional.empty();
            }
            boolean unaware = fault.isPresent() && fault.get() == SILENCED && now() < noticesAt;
            return Optional.of(fault.isEmpty() || unaware ? Contact.CURRENT : Contact.LOST);
        }

        private boolean isInformed() {
            return hasContact()
                    || readers.sources(now()).stream().map(byName::get).anyMatch(Node::hasContact);
        }

        private boolean hasContact() {
            return fault.isEmpty() && reading && now() - readingSince >= READ_TIME;
        }

        private void receiveRequest(Node from, Node self) {
            self.readers.requested(from.name, now());
            self.reportedContact().ifPresent(contact -> self.report(from, contact));
            self.update();
        }

        private void report(Node to, Contact contact) {
            send(to, (sender, receiver) -> {
                receiver.readers.reported(sender.name, contact, now());
                receiver.update();
            });
        }

        /** Delivers a message after 0.5 to 5 ms if both nodes work then. */
        private void send(Node to, Message message) {
            events.after((long) (MILLISECOND * (0.5 + 4.5 * random.nextDouble())), () -> {
                if (works() && to.works()) {
                    message.deliver(this, to);
                }
            });
        }
    }

    private interface Message {
        void deliver(Node from, Node to);
    }
}
