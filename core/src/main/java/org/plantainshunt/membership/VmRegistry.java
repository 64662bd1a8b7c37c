package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
 * <p>The store may come back from a copy that is some seconds old, which begins an era. The lists of an era follow all
 * of the earlier ones, although the store's revisions go back. Until {@link #RENEWAL_TIME} after its beginning, what
 * the process knew holds: a registration that the copy lacks is kept, and one that was removed or said that it leaves
 * counts so for the same start of the backend server. After that time the store is believed.
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
     * those of processes that have just started, whatever their era.
     */
    private static final long SETTLED_OFFSET = 4_000_000_000_000_000_000L;

    /**
     * The share of an era in the revisions of lists; a power of ten, so that era and revision stay recognisable in
     * logs. Twice the store's revision has to be less.
     */
    private static final long ERA_UNIT = 100_000_000_000_000L;

    /** The number of eras that revisions of lists have room for. */
    public static final long MAX_ERA = SETTLED_OFFSET / ERA_UNIT - 1;

    /** The number of former registrations that are remembered: more than servers leave while a copy grows old. */
    private static final int MAX_FORMER = 1_024;

    private final Map<String, Registration> registrations = new TreeMap<>();
    private Optional<Set<String>> services = Optional.empty();
    private final Map<String, Long> expiryOfMissing = new HashMap<>();
    /** What the store says about registrations for which what was known before the current era holds. */
    private final Map<String, Registration> heldBack = new HashMap<>();
    /** The start times of backend servers whose registrations were removed. */
    private final Map<String, Long> former = new LinkedHashMap<>();

    private boolean storeUnavailable;
    private OptionalLong cutAt = OptionalLong.empty();
    private long reconnectedAt = Long.MIN_VALUE / 2;
    private OptionalLong settlesAt = OptionalLong.empty();
    private boolean settled;
    private long revision;
    private long era;
    private OptionalLong eraSince = OptionalLong.empty();
    private boolean eraUnread;

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
     * Records that the store has come back from an older copy, at a time in nanoseconds. Its revisions start anew, and
     * what was written since the copy is written again within {@link #RENEWAL_TIME}.
     *
     * @param newEra the number of the era, at most {@link #MAX_ERA}
     */
    public void eraBegan(long newEra, long now) {
        era = newEra;
        eraSince = OptionalLong.of(now);
        eraUnread = true;
        revision = 0;
    }

    /** Sets the store's era, of which nothing was known before. */
    public void eraKnown(long current) {
        era = current;
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
        gone.forEach(id -> missing(id, atRevision, now));
        heldBack.keySet().retainAll(read.keySet());
        boolean isCopy = eraUnread && !registrations.isEmpty();
        eraUnread = false;
        read.forEach((id, registration) -> {
            if (isCopy && !registrations.containsKey(id)) {
                heldBack.put(id, registration);
            } else {
                put(id, registration, atRevision, now);
            }
        });
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
        heldBack.clear();
    }

    /**
     * Adds or changes a registration. Soon after the beginning of an era, what is known of the leaving of the same
     * start of a backend server holds.
     */
    public void put(String id, Registration registration, long atRevision, long now) {
        revision = Math.max(revision, atRevision);
        if (isEraYoung(now) && isKnownToLeave(id, registration)) {
            heldBack.put(id, registration);
            return;
        }
        heldBack.remove(id);
        registrations.put(id, registration);
        expiryOfMissing.remove(id);
    }

    /** Removes a registration, immediately or, after an outage, if it is not renewed in time. */
    public void removed(String id, long atRevision, long now) {
        revision = Math.max(revision, atRevision);
        heldBack.remove(id);
        if (!registrations.containsKey(id)) {
            return;
        }
        if (now - reconnectedAt < RENEWAL_TIME) {
            expiryOfMissing.putIfAbsent(id, reconnectedAt + RENEWAL_TIME);
            return;
        }
        remove(id);
    }

    /** Handles the absence of a registration from a complete read; it may have been written after the store's copy. */
    private void missing(String id, long atRevision, long now) {
        if (isEraYoung(now)) {
            expiryOfMissing.putIfAbsent(id, eraSince.getAsLong() + RENEWAL_TIME);
            return;
        }
        removed(id, atRevision, now);
    }

    private void remove(String id) {
        Registration registration = registrations.remove(id);
        if (registration == null) {
            return;
        }
        former.remove(id);
        former.put(id, registration.startedAt());
        if (former.size() > MAX_FORMER) {
            former.remove(former.keySet().iterator().next());
        }
    }

    private boolean isEraYoung(long now) {
        return eraSince.isPresent() && now - eraSince.getAsLong() < RENEWAL_TIME;
    }

    /** Returns whether what is known says that this start of the backend server is leaving or gone. */
    private boolean isKnownToLeave(String id, Registration registration) {
        Registration known = registrations.get(id);
        if (known == null) {
            return former.containsKey(id) && isUpTo(former.get(id), registration.startedAt());
        }
        if (known.startedAt() > registration.startedAt() && registration.startedAt() != 0) {
            return true;
        }
        boolean staysByStore = known.vm().leaving() && !registration.vm().leaving();
        return staysByStore && isUpTo(known.startedAt(), registration.startedAt());
    }

    /** Returns whether a start is the known one or an earlier one; 0 stands for an unknown start. */
    private static boolean isUpTo(long known, long start) {
        return known == 0 || start <= known;
    }

    /** Returns when the list changes without a change of the store, in nanoseconds; empty if it does not. */
    public OptionalLong nextExpiry() {
        LongStream kept = expiryOfMissing.values().stream().mapToLong(Long::longValue);
        LongStream held =
                heldBack.isEmpty() ? LongStream.empty() : eraSince.stream().map(since -> since + RENEWAL_TIME);
        LongStream settles = settled ? LongStream.empty() : settlesAt.stream();
        return LongStream.concat(LongStream.concat(kept, held), settles).min();
    }

    /**
     * Removes the registrations that were not renewed in time, applies what was held back at the beginning of an era,
     * and returns whether there was any of these. Also ends the initial period in which lists precede those of
     * processes that have run longer, once {@link #RENEWAL_TIME} has passed.
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
        notRenewed.forEach(this::remove);
        return believeStore(now) || !notRenewed.isEmpty();
    }

    /** Applies what was held back once everything must have been written again; returns whether there was anything. */
    private boolean believeStore(long now) {
        if (heldBack.isEmpty() || isEraYoung(now)) {
            return false;
        }
        registrations.putAll(heldBack);
        heldBack.clear();
        return true;
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
        boolean isFinal = expiryOfMissing.isEmpty() && heldBack.isEmpty();
        return new VmList(offset + ERA_UNIT * era + 2 * revision + (isFinal ? 1 : 0), vms);
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
