package org.plantainshunt.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Describes the differences between two documents that affect the behaviour of nodes.
 *
 * <p>Differences in comments, order and notation are ignored. Stateless and safe for use by any thread.
 */
public final class DocumentChanges {
    private static final List<Property<Link>> LINK_PROPERTIES = List.of(
            new Property<>("bandwidth", link -> Notation.rate(link.bitsPerSecond()), "bandwidth each way"),
            new Property<>("latency", link -> Notation.duration(link.latency()), "expected time one way"));

    private static final List<Property<Service>> SERVICE_PROPERTIES = List.of(
            new Property<>("slots", service -> "" + service.slots(), "requests that one backend server runs at a time"),
            new Property<>("connections", service -> "" + service.connections(), "connections to one backend server"),
            new Property<>("queue", service -> "" + service.queue(), "requests that may wait at one node"),
            new Property<>(
                    "target-queue-delay",
                    service -> Notation.duration(service.targetQueueDelay()),
                    "standing delay from which work is shed"),
            new Property<>(
                    "long-work-share",
                    service -> Notation.share(service.longWorkShare()),
                    "share of the slots that long work may hold while short work waits"),
            new Property<>(
                    "long-work-after",
                    service -> "" + service.longWorkAfter(),
                    "multiple of the median time from which work counts as long"));

    private static final List<Property<Kind>> KIND_PROPERTIES = List.of(
            new Property<>(
                    "class",
                    kind -> Notation.priorityClass(kind.priorityClass()),
                    (old, next) -> next.priorityClass().compareTo(old.priorityClass()) < 0
                            ? "shed later than before"
                            : "shed earlier than before"),
            new Property<>(
                    "runs",
                    kind -> Notation.runs(kind.atMostOnce()),
                    (old, next) -> next.atMostOnce()
                            ? "callers need a ticket (1105) and nodes no longer repeat it"
                            : "no ticket is needed and nodes may run it more than once"),
            new Property<>("deadline", kind -> Notation.duration(kind.deadline()), "longest time for a whole answer"),
            new Property<>(
                    "calls",
                    kind -> kind.calls().isEmpty() ? "none" : Notation.calls(kind.calls()),
                    "calls beyond these take from the retry allowance (1106)"));

    private static final List<Property<Policy>> POLICY_PROPERTIES = List.of(
            new Property<>(
                    "retries-per-request",
                    policy -> "" + policy.retriesPerRequest(),
                    "retries for one request over its whole call chain"),
            new Property<>(
                    "retry-budget",
                    policy -> Notation.share(policy.retryBudget()),
                    "retries of a node as a share of its first attempts"),
            new Property<>(
                    "ticket-use-within",
                    policy -> Notation.duration(policy.ticketUseWithin()),
                    "time within which an issued ticket may be used"),
            new Property<>(
                    "outcome-kept-for",
                    policy -> Notation.duration(policy.outcomeKeptFor()),
                    "time for which the outcome of a ticket is kept"),
            new Property<>(
                    "largest-body",
                    policy -> Notation.size(policy.largestBody()),
                    "larger requests are refused (1303)"),
            new Property<>(
                    "largest-answer",
                    policy -> Notation.size(policy.largestAnswer()),
                    "larger answers are reported as too large (1206)"));

    private final List<String> lines = new ArrayList<>();

    private DocumentChanges() {}

    /**
     * A value of a section that can change.
     *
     * @param key the key in the document
     * @param value formats the value
     * @param effect describes the effect of a change
     */
    private record Property<T>(String key, Function<T, String> value, Effect<T> effect) {
        Property(String key, Function<T, String> value, String effect) {
            this(key, value, (old, next) -> effect);
        }
    }

    /** Describes the effect of a change from one value to another. */
    @FunctionalInterface
    private interface Effect<T> {
        String of(T old, T next);
    }

    /**
     * Lists the differences, one per line.
     *
     * @param old the current document
     * @param next the document that is to replace it
     * @return the lines; empty if the documents have the same name and effect and the new one has a higher version
     *     number or the same bytes
     */
    public static List<String> between(Document old, Document next) {
        DocumentChanges changes = new DocumentChanges();
        changes.addVersionChange(old.version(), next.version());
        if (!old.name().equals(next.name())) {
            changes.lines.add("[document] name: " + old.name() + " -> " + next.name());
        }
        changes.compare(List.of(), byName(old.regions(), "region "::concat), byName(next.regions(), "region "::concat));
        changes.addDataCentres(old, next);
        changes.compare(LINK_PROPERTIES, links(old), links(next));
        changes.compare(SERVICE_PROPERTIES, services(old), services(next));
        changes.compare(KIND_PROPERTIES, kinds(old), kinds(next));
        changes.compare(POLICY_PROPERTIES, Map.of("policy", old.policy()), Map.of("policy", next.policy()));
        return List.copyOf(changes.lines);
    }

    /**
     * Warns if the version number does not increase: nodes may then ignore the new document without reporting an error,
     * which makes it the mistake that is hardest to notice.
     */
    private void addVersionChange(DocumentVersion old, DocumentVersion next) {
        if (next.number() < old.number()) {
            lines.add("[document] version: " + old.number() + " -> " + next.number()
                    + " (lower, so nodes ignore the new document; write at least " + (old.number() + 1) + ")");
        } else if (next.number() == old.number() && !next.equals(old)) {
            lines.add("[document] version: " + old.number() + " in both ("
                    + (next.compareTo(old) > 0 ? "nodes accept the new document" : "nodes ignore the new document")
                    + " because of its digest alone; write " + (old.number() + 1) + ")");
        }
    }

    private void addDataCentres(Document old, Document next) {
        Function<DataCentre, String> heading = dataCentre -> "data-centre " + dataCentre.name();
        Property<DataCentre> region = new Property<>("region", DataCentre::region, "distances are computed again");
        compare(List.of(region), byName(old.dataCentres(), heading), byName(next.dataCentres(), heading));
    }

    private <T> void compare(List<Property<T>> properties, Map<String, T> old, Map<String, T> next) {
        old.forEach((heading, value) -> {
            if (!next.containsKey(heading)) {
                lines.add("[" + heading + "] removed" + removalEffect(heading));
            }
        });
        next.forEach((heading, value) -> Optional.ofNullable(old.get(heading))
                .ifPresentOrElse(
                        before -> compareValues(properties, heading, before, value),
                        () -> addNew(properties, heading, value)));
    }

    private static String removalEffect(String heading) {
        return switch (heading.split(" ")[0]) {
            case "service" -> " (its requests are refused with 1301)";
            case "kind" -> " (its requests are refused with 1302)";
            case "link" -> " (its traffic is no longer limited)";
            default -> "";
        };
    }

    private <T> void compareValues(List<Property<T>> properties, String heading, T old, T next) {
        for (Property<T> property : properties) {
            String before = property.value().apply(old);
            String after = property.value().apply(next);
            if (!before.equals(after)) {
                String effect = property.effect().of(old, next);
                lines.add("[" + heading + "] " + property.key() + ": " + before + " -> " + after + " (" + effect + ")");
            }
        }
    }

    private <T> void addNew(List<Property<T>> properties, String heading, T value) {
        List<String> values = new ArrayList<>();
        properties.forEach(
                property -> values.add(property.key() + " = " + property.value().apply(value)));
        lines.add("[" + heading + "] added" + (values.isEmpty() ? "" : ": " + String.join("; ", values)));
    }

    private static String heading(Link link) {
        DocumentContent.RegionPair pair = DocumentContent.RegionPair.of(link.regionA(), link.regionB());
        return "link " + pair.first() + " " + pair.second();
    }

    private static Map<String, Link> links(Document document) {
        return byName(document.links(), DocumentChanges::heading);
    }

    private static Map<String, Service> services(Document document) {
        return byName(document.services(), service -> "service " + service.name());
    }

    private static Map<String, Kind> kinds(Document document) {
        return byName(document.kinds(), kind -> "kind " + kind.service() + " " + kind.name());
    }

    private static <T> Map<String, T> byName(Collection<T> values, Function<T, String> heading) {
        Map<String, T> byName = new LinkedHashMap<>();
        values.forEach(value -> byName.put(heading.apply(value), value));
        return byName;
    }
}
