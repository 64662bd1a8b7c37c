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
 * This node's picture of the backend servers, from evidence of different strength.
 *
 * <p>A VM's own word that it is leaving, and the VM list's, each stop new work until a new incarnation greets as
 * serving and the list doesn't say leaving. A failed connection is weak evidence: if it alone makes most of a service
 * look dead, this node's own network is the likelier cause, and all servers are tried with a few calls each. Confined
 * to one thread.
 */
public final class Membership {
    /** The share of a service's servers below which failed connections are not believed. */
    private static final double CREDIBLE_SHARE = 0.3;

    /** The outstanding calls up to which a server with a failed connection is tried. */
    private static final int FEW_CALLS = 3;

    /** The VMs that are remembered while the VM list doesn't name them: more than fail or are replaced in a day. */
    private static final int UNLISTED_REMEMBERED = 256;

    private final String localDataCentre;
    private final Function<String, Optional<String>> regionOfDataCentre;
    private final ToIntFunction<String> slotsOfService;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, List<Entry>> byService = new HashMap<>();
    private VmList list = new VmList(-1, List.of());

    /**
     * Creates an empty picture.
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
            entry.evidence.listed(vm.leaving());
            place(entry, vm, now);
        }
        unlist(listed);
        index();
    }

    /** Looks up regions and slots anew, when another configuration has come into force. */
    public void configurationChanged(long now) {
        for (Vm vm : list.vms()) {
            place(entry(vm.name()), vm, now);
        }
    }

    /**
     * Notes the greeting on a new inner connection, in either direction.
     *
     * @param vm the VM
     * @param incarnation the incarnation of its node's process
     * @param draining whether it says that it is leaving
     * @param now the time in nanoseconds
     */
    public void greeted(String vm, long incarnation, boolean draining, long now) {
        Entry entry = entry(vm);
        if (entry.evidence.greeted(incarnation, draining)) {
            entry.incarnation(incarnation, now);
        }
    }

    /**
     * Notes that a node says, in a message or in a refusal, that it is leaving.
     *
     * @param vm the VM
     * @param incarnation the incarnation that is leaving; a former one is ignored
     * @param now the time in nanoseconds
     */
    public void draining(String vm, long incarnation, long now) {
        Entry entry = entry(vm);
        if (entry.evidence.draining(incarnation)) {
            entry.incarnation(incarnation, now);
        }
    }

    /** Notes that the inner connection to a VM was lost, at a time in nanoseconds. */
    public void disconnected(String vm, long now) {
        entry(vm).evidence.lost(now);
    }

    /** Notes that no inner connection to a VM could be made, at a time in nanoseconds. */
    public void connectFailed(String vm, long now) {
        entry(vm).evidence.connectFailed(now);
    }

    /**
     * Returns the backend servers that new work of a service may be sent to.
     *
     * @param service the service
     * @param now the time in nanoseconds
     */
    public List<Upstream> usable(String service, long now) {
        List<Entry> staying = new ArrayList<>();
        int sound = 0;
        for (Entry entry : byService.getOrDefault(service, List.of())) {
            if (!entry.evidence.leaving()) {
                staying.add(entry);
                sound += entry.evidence.failing() ? 0 : 1;
            }
        }
        boolean credible = sound >= CREDIBLE_SHARE * staying.size();
        List<Upstream> usable = new ArrayList<>(staying.size());
        for (Entry entry : staying) {
            if (isUsable(entry, credible, now)) {
                usable.add(entry.upstream);
            }
        }
        return usable;
    }

    /** Returns the VMs of the list, this node's own among them if it is listed; leaving ones still take documents. */
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

    private static boolean isUsable(Entry entry, boolean credible, long now) {
        if (!entry.evidence.failing()) {
            return true;
        }
        boolean tried = !credible || entry.evidence.retryDue(now);
        return tried && entry.upstream.outstanding() < FEW_CALLS;
    }

    private Entry entry(String vm) {
        return entries.computeIfAbsent(vm, name -> new Entry());
    }

    private void place(Entry entry, Vm vm, long now) {
        Distance distance = distance(vm);
        int slots = vm.slots().orElseGet(() -> slotsOfService.applyAsInt(vm.service()));
        if (entry.upstream != null && entry.upstream.vm().service().equals(vm.service())) {
            entry.upstream.configure(vm, distance, slots);
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

    /** Takes VMs that left the list out of use; the oldest of too many unlisted ones are forgotten. */
    private void unlist(Set<String> listed) {
        int forget = entries.size() - listed.size() - UNLISTED_REMEMBERED;
        Iterator<Map.Entry<String, Entry>> all = entries.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Entry> each = all.next();
            if (listed.contains(each.getKey())) {
                continue;
            }
            each.getValue().upstream = null;
            if (forget > 0) {
                all.remove();
                forget--;
            }
        }
    }

    private void index() {
        byService.clear();
        for (Vm vm : list.vms()) {
            byService
                    .computeIfAbsent(vm.service(), service -> new ArrayList<>())
                    .add(entries.get(vm.name()));
        }
    }

    /** What is known about one VM; there is an upstream only while the VM is listed. */
    private static final class Entry {
        private final Evidence evidence = new Evidence();
        private Optional<Long> incarnation = Optional.empty();
        private Upstream upstream;

        void incarnation(long theirs, long now) {
            incarnation = Optional.of(theirs);
            if (upstream != null) {
                upstream.newIncarnation(theirs, now);
            }
        }
    }
}
