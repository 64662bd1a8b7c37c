package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;

/**
 * Builds VM lists from individual registrations, each of which is valid until its backend server leaves or stops
 * renewing it.
 *
 * <p>Registrations expire during an outage of the platform's store, although the backend servers are alive. One that
 * disappears during an outage, or until {@link #RENEWAL_TIME} after it, is therefore kept until that time has passed.
 * A watch that the store cuts is no outage if the store answers again within {@link #SHORTEST_OUTAGE}.
 * The lists of one store revision are ordered: a list that still contains such registrations precedes one without.
 *
 * <p>A process that has just started cannot know which registrations have expired. Until {@link #RENEWAL_TIME} after
 * its first read its lists precede those of all processes that have run longer.
 *
 * <p>If several registrations have the same address, one whose service the configuration names is listed before others,
 * and then the backend server that started last: processes that are not backend servers may register themselves too.
 * Lists from before the services are known precede the others. Confined to one thread.
 */
public final class VmRegistry {
    /**
     * The time in which registrations that expired during an outage are renewed, in nanoseconds: the platform specifies
     * two seconds, plus some time for a read.
     */
    public static final long RENEWAL_TIME = TimeUnit.MILLISECONDS.toNanos(2_200);

    /**
     * The time after a cut watch within which the next answer shows that there was no outage, in nanoseconds.
     * Registrations expire after several missed renewals, of which at most one falls into a shorter time.
     */
    static final long SHORTEST_OUTAGE = TimeUnit.SECONDS.toNanos(1);

    /**
     * Added to the revisions of lists once {@link #RENEWAL_TIME} has passed since the first read, so that they follow
     * those of processes that have just started; a power of ten, so that the rest, about twice the store's revision,
     * stays recognisable in logs.
     */
    private static final long SETTLED_OFFSET = 1_000_000_000_000_000L;

    private final Map<String, Registration> registrations = new TreeMap<>();
    private Optional<Set<String>> services = Optional.empty();
    private final Map<String, Long> expiryOfMissing = new HashMap<>();
    private boolean storeUnavailable;
    private OptionalLong cutAt = OptionalLong.empty();
    private long reconnectedAt = Long.MIN_VALUE / 2;
    private OptionalLong settlesAt = OptionalLong.empty();
    private boolean settled;
    private long revision;

    /**
     * A registered backend server.
     *
     * @param vm its VM
     * @param startedAt when it started, in milliseconds since the Unix epoch; 0 if unknown
     */
    public record Registration(Vm vm, long startedAt) {}

    /** Sets the names of the services in the configuration, and returns whether they have changed. */
    public boolean services(Set<String> names) {
        Optional<Set<String>> before = services;
        services = Optional.of(Set.copyOf(names));
        return !services.equals(before);
    }

    /** Records that the store does not answer. */
    public void storeDisconnected() {
        storeUnavailable = true;
    }

    /** Records that the store cut a waiting watch, as it may at any time, at a time in nanoseconds. */
    public void watchCut(long now) {
        cutAt = OptionalLong.of(now);
    }

    /** Records that the store answers, at a time in nanoseconds. */
    public void storeReconnected(long now) {
        boolean wasAway = cutAt.isPresent() && now - cutAt.getAsLong() >= SHORTEST_OUTAGE;
        if (storeUnavailable || wasAway) {
            reconnectedAt = now;
        }
        storeUnavailable = false;
        cutAt = OptionalLong.empty();
    }

    /**
     * Replaces all registrations with those of a complete read.
     *
     * @param read the registrations by their id
     * @param atRevision the store's revision at the beginning of the read
     * @param now the time in nanoseconds
     */
    public void replace(Map<String, Registration> read, long atRevision, long now) {
        if (settlesAt.isEmpty()) {
            settlesAt = OptionalLong.of(now + RENEWAL_TIME);
        }
        Set<String> gone = new HashSet<>(registrations.keySet());
        gone.removeAll(read.keySet());
        gone.forEach(id -> removed(id, atRevision, now));
        read.forEach((id, registration) -> put(id, registration, atRevision));
        revision = Math.max(revision, atRevision);
    }

    /**
     * Replaces all registrations with those of another node's list, so that the next complete read is compared with
     * what the fleet knew; VMs without an instance are left out.
     */
    public void adopt(VmList list) {
        registrations.clear();
        for (Vm vm : list.vms()) {
            vm.instance().ifPresent(id -> registrations.put(id, new Registration(vm, 0)));
        }
        expiryOfMissing.keySet().retainAll(registrations.keySet());
    }

    /** Adds or changes a registration. */
    public void put(String id, Registration registration, long atRevision) {
        registrations.put(id, registration);
        expiryOfMissing.remove(id);
        revision = Math.max(revision, atRevision);
    }

    /** Removes a registration, immediately or, after an outage, if it is not renewed in time. */
    public void removed(String id, long atRevision, long now) {
        revision = Math.max(revision, atRevision);
        if (!registrations.containsKey(id)) {
            return;
        }
        if (now - reconnectedAt < RENEWAL_TIME) {
            expiryOfMissing.putIfAbsent(id, reconnectedAt + RENEWAL_TIME);
            return;
        }
        registrations.remove(id);
    }

    /** Returns when the list changes without a change of the store, in nanoseconds; empty if it does not. */
    public OptionalLong nextExpiry() {
        LongStream kept = expiryOfMissing.values().stream().mapToLong(Long::longValue);
        return LongStream.concat(kept, settled ? LongStream.empty() : settlesAt.stream())
                .min();
    }

    /**
     * Removes the registrations that were not renewed in time and returns whether there were any. Also ends the initial
     * period in which lists precede those of processes that have run longer, once {@link #RENEWAL_TIME} has passed.
     */
    public boolean expire(long now) {
        settled |= settlesAt.isPresent() && now - settlesAt.getAsLong() >= 0;
        Set<String> notRenewed = new HashSet<>();
        expiryOfMissing.forEach((id, until) -> {
            if (now - until >= 0) {
                notRenewed.add(id);
            }
        });
        expiryOfMissing.keySet().removeAll(notRenewed);
        registrations.keySet().removeAll(notRenewed);
        return !notRenewed.isEmpty();
    }

    /** Returns the current list, in an order that depends only on its content. */
    public VmList list() {
        Map<String, Registration> byAddress = new TreeMap<>();
        for (Registration registration : registrations.values()) {
            byAddress.merge(registration.vm().address(), registration, this::preferred);
        }
        List<Vm> vms = new ArrayList<>();
        byAddress.values().forEach(registration -> vms.add(registration.vm()));
        long offset = settled && services.isPresent() ? SETTLED_OFFSET : 0;
        return new VmList(offset + 2 * revision + (expiryOfMissing.isEmpty() ? 1 : 0), vms);
    }

    private Registration preferred(Registration one, Registration other) {
        boolean oneIsNamed = isNamed(one);
        if (oneIsNamed != isNamed(other)) {
            return oneIsNamed ? one : other;
        }
        return other.startedAt() >= one.startedAt() ? other : one;
    }

    private boolean isNamed(Registration registration) {
        return services.map(names -> names.contains(registration.vm().service()))
                .orElse(true);
    }
}
