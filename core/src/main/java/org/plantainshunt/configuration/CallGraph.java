package org.plantainshunt.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.plantainshunt.configuration.DocumentContent.KindName;

/**
 * Checks that the calls between kinds refer to kinds of the document, form no cycle and are not too deep.
 *
 * <p>Uses iteration instead of recursion, because a document of 1 MB can hold a chain that is deeper than a
 * thread's stack. Confined to one thread.
 */
final class CallGraph {
    /** The maximum number of kinds in a call chain, including the first one. */
    static final int MAX_CHAIN_LENGTH = 10;

    private final Map<KindName, Kind> kinds;
    private final Map<KindName, Section> sections;
    private final ErrorList errors;
    private final Map<KindName, Set<KindName>> callees = new LinkedHashMap<>();
    private final Map<KindName, List<KindName>> callers = new HashMap<>();

    /** Length of the longest chain that starts at a kind; absent for kinds that lead into a cycle. */
    private final Map<KindName, Integer> depths = new HashMap<>();

    CallGraph(Map<KindName, Kind> kinds, Map<KindName, Section> sections, ErrorList errors) {
        this.kinds = kinds;
        this.sections = sections;
        this.errors = errors;
    }

    void check() {
        kinds.forEach(this::addCalls);
        computeDepths();
        reportCycles();
        reportDeepChains();
    }

    private void addCalls(KindName caller, Kind kind) {
        Set<KindName> called = callees.computeIfAbsent(caller, name -> new LinkedHashSet<>());
        for (AllowedCall call : kind.calls()) {
            KindName callee = new KindName(call.service(), call.kind());
            if (!kinds.containsKey(callee)) {
                report(
                        caller,
                        DocumentErrorCode.UNKNOWN_KIND,
                        "there is no section [kind " + callee + "]; add it or correct the call");
            } else if (called.add(callee)) {
                callers.computeIfAbsent(callee, name -> new ArrayList<>()).add(caller);
            }
        }
    }

    /**
     * Computes the depths in reverse topological order: a kind is visited after all kinds that it calls, so kinds that
     * lead into a cycle are never visited.
     */
    private void computeDepths() {
        Map<KindName, Integer> unvisitedCallees = new HashMap<>();
        Deque<KindName> ready = new ArrayDeque<>();
        callees.forEach((kind, called) -> {
            unvisitedCallees.put(kind, called.size());
            if (called.isEmpty()) {
                ready.add(kind);
            }
        });
        while (!ready.isEmpty()) {
            KindName kind = ready.remove();
            depths.put(kind, 1 + maxDepth(callees.get(kind)));
            for (KindName caller : callers.getOrDefault(kind, List.of())) {
                if (unvisitedCallees.merge(caller, -1, Integer::sum) == 0) {
                    ready.add(caller);
                }
            }
        }
    }

    private int maxDepth(Set<KindName> called) {
        int max = 0;
        for (KindName callee : called) {
            max = Math.max(max, depths.get(callee));
        }
        return max;
    }

    private void reportCycles() {
        Set<KindName> visited = new HashSet<>();
        for (KindName start : callees.keySet()) {
            if (!depths.containsKey(start) && !visited.contains(start)) {
                reportCycleFrom(start, visited);
            }
        }
    }

    /** Follows calls that lead into a cycle until a kind repeats; reports the cycle unless an earlier path did. */
    private void reportCycleFrom(KindName start, Set<KindName> visited) {
        Map<KindName, Integer> positions = new LinkedHashMap<>();
        KindName kind = start;
        while (visited.add(kind)) {
            positions.put(kind, positions.size());
            kind = callees.get(kind).stream()
                    .filter(callee -> !depths.containsKey(callee))
                    .findFirst()
                    .orElseThrow();
        }
        if (positions.containsKey(kind)) {
            List<KindName> path = new ArrayList<>(positions.keySet());
            List<KindName> cycle = path.subList(positions.get(kind), path.size());
            report(
                    kind,
                    DocumentErrorCode.CALL_CYCLE,
                    "the calls form the cycle " + formatChain(cycle) + " > " + kind + "; remove one of these calls");
        }
    }

    private void reportDeepChains() {
        for (KindName kind : callees.keySet()) {
            boolean isRoot = callers.getOrDefault(kind, List.of()).isEmpty();
            if (isRoot && depths.getOrDefault(kind, 0) > MAX_CHAIN_LENGTH) {
                report(
                        kind,
                        DocumentErrorCode.CHAIN_TOO_DEEP,
                        "the chain " + formatChain(longestChain(kind)) + " is " + depths.get(kind)
                                + " levels deep; shorten it to at most " + MAX_CHAIN_LENGTH);
            }
        }
    }

    private List<KindName> longestChain(KindName start) {
        List<KindName> chain = new ArrayList<>();
        KindName kind = start;
        while (kind != null) {
            chain.add(kind);
            kind = null;
            for (KindName callee : callees.get(chain.get(chain.size() - 1))) {
                if (kind == null || depths.get(callee) > depths.get(kind)) {
                    kind = callee;
                }
            }
        }
        return chain;
    }

    private static String formatChain(List<KindName> kinds) {
        int shown = Math.min(kinds.size(), MAX_CHAIN_LENGTH + 1);
        List<String> names = new ArrayList<>();
        kinds.subList(0, shown).forEach(kind -> names.add(kind.toString()));
        return String.join(" > ", names) + (shown < kinds.size() ? " > ..." : "");
    }

    private void report(KindName kind, DocumentErrorCode code, String message) {
        errors.add(sections.get(kind).error("calls", code, message));
    }
}
