package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.membership.VmRegistry.Registration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/**
 * Plays a store that comes back from older copies while servers join, drain, leave and start again, and checks what a
 * reader of it believes.
 */
class StoreErasTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SERVERS = 8;
    private static final int STEPS = 300;

    /** Guards against work for a server that a node knew to have left, and against anything that reverts for good. */
    @Property(tries = 50)
    void nothingThatWasKnownRevertsInAnEra(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        new Run(seed).play();
    }

    /** One run on a virtual clock. */
    private static final class Run {
        private final long seed;
        private final Random random;
        private final VmRegistry registry = new VmRegistry();
        private final Map<String, Registration> store = new TreeMap<>();
        private final Map<String, Registration> truth = new TreeMap<>();
        /** The starts of servers that the registry was told to be leaving or gone. */
        private final Set<String> knownToLeave = new HashSet<>();

        private Map<String, Registration> copy = new TreeMap<>();
        private long copyRevision = 1;
        private long revision = 1;
        private long era = 1;
        private long starts;
        private long now = TimeUnit.SECONDS.toNanos(100);
        private long lastRevisionOfList;

        Run(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
        }

        void play() {
            registry.eraKnown(era);
            registry.replace(store, revision, now);
            pass(VmRegistry.RENEWAL_TIME);
            for (int step = 0; step < STEPS; step++) {
                pass(random.nextLong(400 * MILLISECOND));
                if (random.nextInt(20) == 0) {
                    copy = new HashMap<>(store);
                    copyRevision = revision;
                } else if (random.nextInt(30) == 0) {
                    drill();
                } else {
                    change("i-" + random.nextInt(SERVERS));
                }
                check();
            }
            pass(VmRegistry.RENEWAL_TIME);
            assertEquals(states(truth), listed(), "seed " + seed);
        }

        private void change(String id) {
            Registration known = truth.get(id);
            if (known == null || random.nextInt(4) == 0) {
                write(id, Optional.of(registration(id, ++starts, false)));
            } else if (!known.vm().leaving() && random.nextBoolean()) {
                write(id, Optional.of(registration(id, known.startedAt(), true)));
            } else {
                write(id, Optional.empty());
            }
        }

        private void write(String id, Optional<Registration> value) {
            Registration before = truth.get(id);
            if (before != null && value.map(Registration::startedAt).orElse(0L) != before.startedAt()) {
                knownToLeave.add(id + " " + before.startedAt());
            }
            value.filter(registration -> registration.vm().leaving())
                    .ifPresent(registration -> knownToLeave.add(id + " " + registration.startedAt()));
            value.ifPresentOrElse(registration -> truth.put(id, registration), () -> truth.remove(id));
            apply(id, value);
        }

        private void apply(String id, Optional<Registration> value) {
            revision++;
            if (value.isPresent()) {
                store.put(id, value.get());
                registry.put(id, value.get(), revision, now);
            } else {
                store.remove(id);
                registry.removed(id, revision, now);
            }
        }

        /** The store comes back from its copy, and all that was lost is written again within the renewal time. */
        private void drill() {
            store.clear();
            store.putAll(copy);
            revision = copyRevision;
            registry.eraBegan(++era, now);
            registry.replace(store, revision, now);
            check();
            List<String> ids = new ArrayList<>(store.keySet());
            truth.keySet().stream().filter(id -> !store.containsKey(id)).forEach(ids::add);
            for (String id : ids) {
                pass(random.nextLong(VmRegistry.RENEWAL_TIME / (SERVERS + 1)));
                if (!Optional.ofNullable(store.get(id)).equals(Optional.ofNullable(truth.get(id)))) {
                    apply(id, Optional.ofNullable(truth.get(id)));
                }
                check();
            }
        }

        private void pass(long time) {
            now += time;
            registry.expire(now);
        }

        private void check() {
            registry.expire(now);
            for (Vm vm : registry.list().vms()) {
                String start = vm.instance().orElseThrow() + " " + vm.slots().orElseThrow();
                assertFalse(!vm.leaving() && knownToLeave.contains(start), "seed " + seed + ": " + start + " is used");
            }
            long revisionOfList = registry.list().revision();
            assertFalse(revisionOfList < lastRevisionOfList, "seed " + seed + ": the revision of the list fell");
            lastRevisionOfList = revisionOfList;
        }

        private List<String> listed() {
            return registry.list().vms().stream().map(Run::state).toList();
        }

        private static List<String> states(Map<String, Registration> registrations) {
            return registrations.values().stream()
                    .map(registration -> state(registration.vm()))
                    .toList();
        }

        private static String state(Vm vm) {
            return vm.instance().orElseThrow() + " " + vm.slots().orElseThrow() + (vm.leaving() ? " leaving" : "");
        }

        /** Returns a registration whose number of slots tells its start. */
        private static Registration registration(String id, long start, boolean leaving) {
            String address = "10.0.0." + (1 + Integer.parseInt(id.substring(2)));
            Vm vm = new Vm(address, "s", "d", address, 7_000, leaving, OptionalInt.of((int) start), Optional.of(id));
            return new Registration(vm, start);
        }
    }
}
