package org.plantainshunt.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Link;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;

/** The two deployments of section 1.4 of docs/design.md, with the service times assumed by the benchmarks. */
final class Deployments {
    /** The assumed mean service time of each kind's own work; section 1.4 gives slots but no service times. */
    static final long MEAN_NANOS = 40 * VirtualClock.MILLISECOND;

    private static final int LOOKUP_BYTES = 600;
    private static final int SMALL_BYTES = 1_024;
    private static final int PAGE_BYTES = 4_096;
    private static final double CRITICAL_SHARE = 0.08;
    private static final double IMPORTANT_SHARE = 0.12;
    private static final double STANDARD_SHARE = 0.40;
    private static final double SHEDDABLE_SHARE = 0.40;
    private static final long LINK_BITS_PER_SECOND = 30_000_000;
    private static final Policy POLICY =
            new Policy(3, 0.10, Duration.ofSeconds(30), Duration.ofSeconds(300), 1 << 20, 1 << 20);

    private Deployments() {}

    static List<Deployment> all() {
        return List.of(bellMesh(), polishingLine());
    }

    /** The Bell Mesh of Bellwether; every request of a caller calls the archive once. */
    static Deployment bellMesh() {
        KindProfile store = internalKind("archive", "store", true, PAGE_BYTES, LOOKUP_BYTES);
        KindProfile fetch = internalKind("archive", "fetch", false, LOOKUP_BYTES, PAGE_BYTES);
        KindProfile lookup = internalKind("recorder", "lookup-bell", false, LOOKUP_BYTES, SMALL_BYTES);
        List<KindProfile> callerKinds = List.of(
                callerKind("scheduler", "push-schedule", PriorityClass.CRITICAL, CRITICAL_SHARE, lookup, lookup, store),
                callerKind("recorder", "upload-bell", PriorityClass.IMPORTANT, IMPORTANT_SHARE, store),
                callerKind("scheduler", "view-schedule", PriorityClass.STANDARD, STANDARD_SHARE, fetch),
                callerKind("playlist", "browse-playlist", PriorityClass.SHEDDABLE, SHEDDABLE_SHARE, lookup, fetch));
        List<Service> services = List.of(
                service("playlist", 130, 900),
                service("recorder", 130, 900),
                service("scheduler", 130, 900),
                service("archive", 30, 300));
        return new Deployment(
                "Bell Mesh",
                dataCentres("lake-erie", "lake-huron"),
                link("lake-erie", "lake-huron"),
                1_500 * VirtualClock.MICROSECOND,
                10 * VirtualClock.MILLISECOND,
                POLICY,
                services,
                callerKinds,
                "archive",
                MEAN_NANOS);
    }

    /** The Polishing Line of Blue Mahoe; every request of a caller calls the benchbook once. */
    static Deployment polishingLine() {
        KindProfile book = internalKind("benchbook", "book", true, SMALL_BYTES, LOOKUP_BYTES);
        KindProfile readFree = internalKind("benchbook", "read-free", false, LOOKUP_BYTES, PAGE_BYTES);
        KindProfile checkLot = internalKind("shellyard", "check-lot", false, LOOKUP_BYTES, SMALL_BYTES);
        List<KindProfile> callerKinds = List.of(
                callerKind("tillhouse", "pay", PriorityClass.CRITICAL, CRITICAL_SHARE, checkLot, book),
                callerKind("shellyard", "reserve-lot", PriorityClass.IMPORTANT, IMPORTANT_SHARE, book),
                callerKind("catalogue", "view-item", PriorityClass.STANDARD, STANDARD_SHARE, checkLot, readFree),
                callerKind("catalogue", "browse", PriorityClass.SHEDDABLE, SHEDDABLE_SHARE, readFree));
        List<Service> services = List.of(
                service("catalogue", 55, 430),
                service("shellyard", 55, 430),
                service("tillhouse", 55, 430),
                service("benchbook", 12, 170));
        return new Deployment(
                "Polishing Line",
                dataCentres("kingston", "mobay"),
                link("kingston", "mobay"),
                500 * VirtualClock.MICROSECOND,
                VirtualClock.MILLISECOND,
                POLICY,
                services,
                callerKinds,
                "benchbook",
                MEAN_NANOS);
    }

    /** Returns a deployment in which callers send only one repeatable kind without downstream calls. */
    static Deployment singleService(Deployment deployment, String service, Duration deadline) {
        Kind kind = new Kind(service, "render", PriorityClass.STANDARD, false, deadline, List.of());
        KindProfile kindProfile = new KindProfile(kind, 1, MEAN_NANOS, LOOKUP_BYTES, PAGE_BYTES, List.of());
        return deployment.withCallerKinds(List.of(kindProfile), service, MEAN_NANOS);
    }

    private static List<DataCentre> dataCentres(String regionA, String regionB) {
        return List.of(
                new DataCentre(regionA + "-1", regionA),
                new DataCentre(regionA + "-2", regionA),
                new DataCentre(regionB + "-1", regionB),
                new DataCentre(regionB + "-2", regionB));
    }

    private static Link link(String regionA, String regionB) {
        return new Link(regionA, regionB, LINK_BITS_PER_SECOND, Duration.ofMillis(20));
    }

    private static Service service(String name, int slots, int connections) {
        return new Service(name, slots, connections, 2 * slots, Duration.ofMillis(20), 0.5, 10);
    }

    private static KindProfile internalKind(String service, String name, boolean atMostOnce, int request, int answer) {
        Kind kind = new Kind(service, name, PriorityClass.STANDARD, atMostOnce, Duration.ofSeconds(1), List.of());
        return new KindProfile(kind, 0, MEAN_NANOS, request, answer, List.of());
    }

    private static KindProfile callerKind(
            String service, String name, PriorityClass priorityClass, double share, KindProfile... children) {
        boolean important = priorityClass.compareTo(PriorityClass.IMPORTANT) <= 0;
        Duration deadline = Duration.ofSeconds(important ? 2 : 1);
        List<AllowedCall> calls = new ArrayList<>();
        for (KindProfile child : children) {
            addCall(calls, child.kind());
        }
        Kind kind = new Kind(service, name, priorityClass, important, deadline, calls);
        return new KindProfile(kind, share, MEAN_NANOS, SMALL_BYTES, PAGE_BYTES, List.of(children));
    }

    private static void addCall(List<AllowedCall> calls, Kind child) {
        for (int i = 0; i < calls.size(); i++) {
            AllowedCall call = calls.get(i);
            if (call.service().equals(child.service()) && call.kind().equals(child.name())) {
                calls.set(i, new AllowedCall(call.service(), call.kind(), call.count() + 1));
                return;
            }
        }
        calls.add(new AllowedCall(child.service(), child.name(), 1));
    }
}
