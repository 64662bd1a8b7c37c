package org.plantainshunt.configuration;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The parts of a document, collected while its sections are read.
 *
 * <p>Maps keep the order of the document. Confined to one thread until the document is built.
 */
final class DocumentContent {
    long number;
    String name = "";
    Policy policy = Defaults.POLICY;
    final Set<String> regions = new LinkedHashSet<>();
    final Map<String, DataCentre> dataCentres = new LinkedHashMap<>();
    final Map<RegionPair, Link> links = new LinkedHashMap<>();
    final Map<String, Service> services = new LinkedHashMap<>();
    final Map<KindName, Kind> kinds = new LinkedHashMap<>();
    RouteTable routes = RouteTable.EMPTY;
    RequestLimits requestLimits = RequestLimits.DEFAULT;

    /**
     * Identifies a kind of request.
     *
     * @param service the service
     * @param kind the kind's name within the service
     */
    record KindName(String service, String kind) {
        // The generated methods link method handles at run time; each lookup of a kind needs both.
        @Override
        public boolean equals(Object other) {
            return other instanceof KindName name && service.equals(name.service) && kind.equals(name.kind);
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + kind.hashCode();
        }

        @Override
        public String toString() {
            return service + " " + kind;
        }
    }

    /**
     * Two regions in the order of their names, because a link has no direction.
     *
     * @param first the region whose name comes first
     * @param second the other region
     */
    record RegionPair(String first, String second) {
        static RegionPair of(String regionA, String regionB) {
            return regionA.compareTo(regionB) <= 0
                    ? new RegionPair(regionA, regionB)
                    : new RegionPair(regionB, regionA);
        }
    }
}
