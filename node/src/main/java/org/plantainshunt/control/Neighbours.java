package org.plantainshunt.control;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.Hashing;
import org.plantainshunt.configuration.Vm;

/**
 * The few nodes with which this node exchanges documents.
 *
 * <p>Each node takes those with the lowest hash of both names, which gives a random graph that all nodes are part of,
 * with a bounded number of connections: an exchange with any node would in time connect everybody to everybody.
 * Confined to the control duty's thread.
 */
final class Neighbours {
    private static final int COUNT = 8;

    private final String ownVm;
    private List<String> names = List.of();

    Neighbours(String ownVm) {
        this.ownVm = ownVm;
    }

    void choose(List<Vm> vms) {
        names = vms.stream()
                .map(Vm::name)
                .filter(name -> !name.equals(ownVm))
                .sorted(Comparator.comparingLong(this::hash))
                .limit(COUNT)
                .toList();
    }

    List<String> names() {
        return names;
    }

    private long hash(String other) {
        return Hashing.murmur3_128()
                .hashString(ownVm + "/" + other, StandardCharsets.UTF_8)
                .asLong();
    }
}
