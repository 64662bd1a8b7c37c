package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToIntFunction;

import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.routing.Distance;
import org.plantainshunt.routing.Upstream;

/**
 * This node's view of the available backend servers.
 *
 * <p>New work stops when either a VM or the VM list reports that it is leaving. It resumes when a new incarnation
 * connects as serving and the list doesn't report leaving. Failed connections are weaker evidence: if they alone make
 * most of a service look dead, this node's own network is the likelier cause, and all servers are tried with a few
 * calls each (a panic threshold). Confined to one thread.
 */
public final class Membership {
    /** The share of a service's servers without a failed connection below which failed connections are ignored. */
    private static final double PANIC_THRESHOLD = 0.3;

    /** The limit on outstanding calls to a server with a failed connection. */
    private static final int MAX_CALLS_WHILE_FAILING = 3;

    /** The number of unlisted VMs whose state is kept: more than fail or are replaced in a day. */
    private static final int MAX_UNLISTED = 256;

    private final String localDataCentre;
    private final Function<String, Optional<String>> regionOfDataCentre;
    private final ToIntFunction<String> slotsOfService;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, List<Entry>> byService = new HashMap<>();
    private VmList list = new VmList(-1, List.of());

    /**
     * Creates a view without VMs.
     *
     * @param localDataCentre the data centre of this node
     * @param regionOfDataCentre the region of a data centre by the configuration in force
     * @param slotsOfService the slots of a backend server of a service by the configuration in force
     */
    public Membership(
            String localDataCentre,
            Function<String, Optional<String>> regionOfDataCentre,
            ToIntFunction<String> slotsOfService) {
        this.localDataCentre = localDataCentre;
        this.regionOfDataCentre = regionOfDataCentre;
        this.slotsOfService = slotsOfService;
    }

    /**
     * Applies a VM list; one with a lower revision than the last is ignored.
     *
     * @param vmList the list
     * @param now the time in nanoseconds
     */
    public void vmList(VmList vmList, long now) {
        if (vmList.compareTo(list) < 0) {
            return;
        }
        list = vmList;
        Set<String> listed = new HashSet<>();
        for (Vm vm : list.vms()) {
            listed.add(vm.name());
            Entry entry = entry(vm.name());
            entry.availability.listed(vm.leaving());
            updateUpstream(entry, vm, now);
        }
        removeUnlisted(listed);
        indexByService();
    }

    /** Updates regions and slots after a new configuration has come into force. */
    public void configurationChanged(long now) {
        for (Vm vm : list.vms()) {
            updateUpstream(entry(vm.name()), vm, now);
        }
    }

    /**
     * Records the handshake on a new inner connection, in either direction.
     *
     * @param vm the VM
     * @param incarnation the incarnation of its node's process
     * @param draining whether it reports that it is leaving
     * @param now the time in nanoseconds
     */
    public void connected(String vm, long incarnation, boolean draining, long now) {
        Entry entry = entry(vm);
        if (entry.availability.connected(incarnation, draining)) {
            entry.incarnation(incarnation, now);
        }
    }

    /**
     * Records that a node reports, in a message or in a refusal, that it is leaving.
     *
     * @param vm the VM
     * @param incarnation the incarnation that is leaving; a former one is ignored
     * @param now the time in nanoseconds
     */
    public void draining(String vm, long incarnation, long now) {
        Entry entry = entry(vm);
        if (entry.availability.draining(incarnation)) {
            entry.incarnation(incarnation, now);
        }
    }

    /** Records that the inner connection to a VM was lost, at a time in nanoseconds. */
    public void disconnected(String vm, long now) {
        entry(vm).availability.lost(now);
    }

    /** Records that an inner connection to a VM could not be opened, at a time in nanoseconds. */
    public void connectFailed(String vm, long now) {
        entry(vm).availability.connectFailed(now);
    }

    /**
     * Returns the backend servers that new work of a service may be sent to.
     *
     * @param service the service
     * @param now the time in nanoseconds
     */
    public List<Upstream> usable(String service, long now) {
        List<Entry> staying = new ArrayList<>();
        int notFailing = 0;
        for (Entry entry : byService.getOrDefault(service, List.of())) {
            if (!entry.availability.leaving()) {
                staying.add(entry);
                notFailing += entry.availability.failing() ? 0 : 1;
            }
        }
        boolean failuresCredible = notFailing >= PANIC_THRESHOLD * staying.size();
        List<Upstream> usable = new ArrayList<>(staying.size());
        for (Entry entry : staying) {
            if (isUsable(entry, failuresCredible, now)) {
                usable.add(entry.upstream);
            }
        }
        return usable;
    }

    /** Returns the listed VMs, including this node's own if listed; leaving VMs still receive documents. */
    public List<Vm> peers() {
        return list.vms();
    }

    /** Returns the revision of the list; -1 if there was none. */
    public long listRevision() {
        return list.revision();
    }

    /** Returns the number of VMs in the list. */
    public int fleetSize() {
        return list.vms().size();
    }

    /** Returns the view of a listed VM's backend server, whether usable or not. */
    public Optional<Upstream> upstream(String vm) {
        Entry entry = entries.get(vm);
        return entry == null ? Optional.empty() : Optional.ofNullable(entry.upstream);
    }

    private static boolean isUsable(Entry entry, boolean failuresCredible, long now) {
        if (!entry.availability.failing()) {
            return true;
        }
        boolean tried = !failuresCredible || entry.availability.retryDue(now);
        return tried && entry.upstream.outstanding() < MAX_CALLS_WHILE_FAILING;
    }

    private Entry entry(String vm) {
        return entries.computeIfAbsent(vm, name -> new Entry());
    }

    private void updateUpstream(Entry entry, Vm vm, long now) {
        Distance distance = distance(vm);
        int slots = vm.slots().orElseGet(() -> slotsOfService.applyAsInt(vm.service()));
        if (entry.upstream != null && entry.upstream.vm().service().equals(vm.service())) {
            entry.upstream.configure(vm, distance, slots, now);
            return;
        }
        entry.upstream = new Upstream(vm, distance, slots);
        if (entry.incarnation.isPresent()) {
            entry.upstream.newIncarnation(entry.incarnation.get(), now);
        }
    }

    private Distance distance(Vm vm) {
        if (vm.dataCentre().equals(localDataCentre)) {
            return Distance.SAME_DATA_CENTRE;
        }
        Optional<String> local = regionOfDataCentre.apply(localDataCentre);
        boolean sameRegion = local.isPresent() && local.equals(regionOfDataCentre.apply(vm.dataCentre()));
        return sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /** Discards the upstreams of unlisted VMs, and the state of the oldest ones over the limit. */
    private void removeUnlisted(Set<String> listed) {
        int excess = entries.size() - listed.size() - MAX_UNLISTED;
        Iterator<Map.Entry<String, Entry>> all = entries.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Entry> each = all.next();
            if (listed.contains(each.getKey())) {
                continue;
            }
            each.getValue().upstream = null;
            if (excess > 0) {
                all.remove();
                excess--;
            }
        }
    }

    private void indexByService() {
        byService.clear();
        for (Vm vm : list.vms()) {
            byService
                    .computeIfAbsent(vm.service(), service -> new ArrayList<>())
                    .add(entries.get(vm.name()));
        }
    }

    /** The state of one VM; it has an upstream only while the VM is listed. */
    private static final class Entry {
        private final VmAvailability availability = new VmAvailability();
        private Optional<Long> incarnation = Optional.empty();
        private Upstream upstream;

        void incarnation(long newIncarnation, long now) {
            incarnation = Optional.of(newIncarnation);
            if (upstream != null) {
                upstream.newIncarnation(newIncarnation, now);
            }
        }
    }
}
