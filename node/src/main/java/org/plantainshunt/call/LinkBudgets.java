package org.plantainshunt.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Link;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.routing.LinkBudget;

/**
 * The bandwidth that this node may use on each link from its region to other regions.
 *
 * <p>Confined to the decision thread.
 */
final class LinkBudgets {
    private final String ownDataCentre;
    private final Map<String, LinkBudget> byRegion = new HashMap<>();
    private Optional<Document> document = Optional.empty();
    private int nodesInRegion = 1;

    LinkBudgets(String ownDataCentre) {
        this.ownDataCentre = ownDataCentre;
    }

    void configure(Document accepted) {
        document = Optional.of(accepted);
        byRegion.forEach((region, budget) ->
                link(region).ifPresent(found -> budget.configure(found.bitsPerSecond(), nodesInRegion)));
    }

    /** Sets the number of nodes that share the links of this region. */
    void setNodesInRegion(int nodes) {
        nodesInRegion = Math.max(1, nodes);
        document.ifPresent(this::configure);
    }

    /**
     * Takes bandwidth for a message to a data centre in another region, and returns whether the message may be sent. If
     * no link is declared, it always may.
     */
    boolean tryTake(String dataCentre, PriorityClass priorityClass, long bytes, long now) {
        Optional<String> region = region(dataCentre);
        Optional<Link> link = region.flatMap(this::link);
        if (link.isEmpty()) {
            return true;
        }
        LinkBudget budget = byRegion.computeIfAbsent(
                region.get(), name -> new LinkBudget(link.get().bitsPerSecond(), nodesInRegion));
        return budget.tryTake(priorityClass, bytes, now);
    }

    Optional<String> region(String dataCentre) {
        return document.flatMap(known -> known.dataCentre(dataCentre)).map(DataCentre::region);
    }

    private Optional<Link> link(String otherRegion) {
        Optional<String> own = region(ownDataCentre);
        return own.flatMap(region -> document.flatMap(known -> known.link(region, otherRegion)));
    }
}
