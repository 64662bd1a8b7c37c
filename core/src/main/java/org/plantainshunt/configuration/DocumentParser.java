package org.plantainshunt.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainshunt.configuration.DocumentContent.KindName;
import org.plantainshunt.configuration.DocumentContent.RegionPair;

/**
 * Builds the content of a document from its sections and collects all errors.
 *
 * <p>Confined to one thread and used for one document.
 */
final class DocumentParser {
    private final ErrorList errors = new ErrorList();
    private final DocumentContent content = new DocumentContent();
    private final Map<KindName, Section> kindSections = new LinkedHashMap<>();

    DocumentContent parse(byte[] bytes) throws InvalidDocumentException {
        List<Section> sections = SectionReader.read(bytes, errors);
        for (Section section : sections) {
            read(section);
        }
        if (!sections.isEmpty()) {
            checkRequiredSections(sections);
            checkReferences(sections);
            new CallGraph(content.kinds, kindSections, errors).check();
        }
        if (!errors.isEmpty()) {
            throw new InvalidDocumentException(errors.inOrder());
        }
        return content;
    }

    private void read(Section section) {
        ValueReader values = new ValueReader(section, errors);
        values.checkRequiredKeys();
        switch (section.type()) {
            case DOCUMENT -> readDocument(values);
            case REGION -> content.regions.add(section.name());
            case DATA_CENTRE -> content.dataCentres.put(
                    section.name(), new DataCentre(section.name(), values.text("region")));
            case LINK -> readLink(section, values);
            case SERVICE -> readService(section.name(), values);
            case KIND -> readKind(section, values);
            case POLICY -> readPolicy(values);
            default -> throw new IllegalStateException("no reader for " + section.type());
        }
    }

    private void readDocument(ValueReader values) {
        content.number = values.wholeNumber("version", Ranges.VERSION);
        content.name = values.name("name");
    }

    private void readLink(Section section, ValueReader values) {
        String regionA = section.name();
        String regionB = section.names().get(1);
        if (regionA.equals(regionB)) {
            values.report("", DocumentErrorCode.LINK_WITHIN_REGION, "the link joins a region to itself; name two");
            return;
        }
        Link link = new Link(
                regionA,
                regionB,
                values.rate("bandwidth", Ranges.BANDWIDTH),
                values.duration("latency", Ranges.LATENCY, Duration.ZERO));
        if (content.links.putIfAbsent(RegionPair.of(regionA, regionB), link) != null) {
            values.report(
                    "",
                    DocumentErrorCode.DUPLICATE_SECTION,
                    "the link was given before as [link " + regionB + " " + regionA + "]; a link has no direction,"
                            + " write it once");
        }
    }

    private void readService(String name, ValueReader values) {
        int slots = values.count("slots", Ranges.SLOTS, 1);
        content.services.put(
                name,
                new Service(
                        name,
                        slots,
                        values.count("connections", Ranges.CONNECTIONS, 1),
                        values.count("queue", Ranges.QUEUE, Defaults.QUEUE_PER_SLOT * slots),
                        values.duration("target-queue-delay", Ranges.TARGET_QUEUE_DELAY, Defaults.TARGET_QUEUE_DELAY),
                        values.share("long-work-share", Ranges.LONG_WORK_SHARE, Defaults.LONG_WORK_SHARE),
                        values.count("long-work-after", Ranges.LONG_WORK_AFTER, Defaults.LONG_WORK_AFTER)));
    }

    private void readKind(Section section, ValueReader values) {
        KindName name = new KindName(section.name(), section.names().get(1));
        kindSections.put(name, section);
        content.kinds.put(
                name,
                new Kind(
                        name.service(),
                        name.kind(),
                        values.priorityClass("class"),
                        values.choice("runs", List.of("at-most-once", "repeatable")) == 0,
                        values.deadline("deadline"),
                        CallList.read(values)));
    }

    private void readPolicy(ValueReader values) {
        Policy defaults = Defaults.POLICY;
        content.policy = new Policy(
                values.count("retries-per-request", Ranges.RETRIES_PER_REQUEST, defaults.retriesPerRequest()),
                values.share("retry-budget", Ranges.RETRY_BUDGET, defaults.retryBudget()),
                values.duration("ticket-use-within", Ranges.TICKET_USE_WITHIN, defaults.ticketUseWithin()),
                values.duration("outcome-kept-for", Ranges.OUTCOME_KEPT_FOR, defaults.outcomeKeptFor()),
                values.size("largest-body", Ranges.LARGEST_BODY, defaults.largestBody()),
                values.size("largest-answer", Ranges.LARGEST_ANSWER, defaults.largestAnswer()));
    }

    private void checkRequiredSections(List<Section> sections) {
        List<SectionType> needed = new ArrayList<>(
                List.of(SectionType.DOCUMENT, SectionType.REGION, SectionType.DATA_CENTRE, SectionType.SERVICE));
        sections.forEach(section -> needed.remove(section.type()));
        for (SectionType type : needed) {
            errors.add(DocumentErrorCode.MISSING_SECTION, "there is no section " + type.form() + "; add one");
        }
    }

    private void checkReferences(List<Section> sections) {
        for (Section section : sections) {
            switch (section.type()) {
                case DATA_CENTRE -> section.entry("region")
                        .ifPresent(entry -> checkRegion(section, "region", entry.value()));
                case LINK -> section.names().forEach(region -> checkRegion(section, "", region));
                case KIND -> checkService(section);
                default -> {
                    // The other sections refer to nothing.
                }
            }
        }
    }

    private void checkRegion(Section section, String key, String region) {
        if (!content.regions.contains(region)) {
            errors.add(section.error(
                    key,
                    DocumentErrorCode.UNKNOWN_REGION,
                    "there is no region " + ErrorList.quote(region) + "; add its section or write one of "
                            + ErrorList.shorten(content.regions)));
        }
    }

    private void checkService(Section section) {
        if (!content.services.containsKey(section.name())) {
            errors.add(section.error(
                    "",
                    DocumentErrorCode.UNKNOWN_SERVICE,
                    "there is no service " + ErrorList.quote(section.name()) + "; add its section or write one of "
                            + ErrorList.shorten(content.services.keySet())));
        }
    }
}
