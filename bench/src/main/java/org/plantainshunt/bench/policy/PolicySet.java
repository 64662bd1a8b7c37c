package org.plantainshunt.bench.policy;

/** The combinations of entry and serving policy that each scenario compares. */
enum PolicySet {
    /** The admission, retry and routing classes of this project. */
    PLANTAINSHUNT("plantainshunt", true),
    /** No overload control: every call is handed over at once. */
    NO_CONTROL("no control", false),
    /** A fixed concurrency limit with a bounded first-in-first-out queue. */
    FIXED_LIMIT("fixed limit", false),
    /** Round robin with three retries per hop; calls are refused only when all connections of the server are in use. */
    ROUND_ROBIN("round robin, 3 retries", false);

    private final String title;
    private final boolean propagatesDeadlines;

    PolicySet(String title, boolean propagatesDeadlines) {
        this.title = title;
        this.propagatesDeadlines = propagatesDeadlines;
    }

    String title() {
        return title;
    }

    /** Returns whether deadlines and cancellations propagate downstream; if not, attempts get their kind's deadline. */
    boolean propagatesDeadlines() {
        return propagatesDeadlines;
    }

    EntryPolicy entryPolicy(Simulation simulation, Node node) {
        if (this == PLANTAINSHUNT) {
            return new PlantainshuntEntryPolicy(simulation, node);
        }
        return new BaselineEntryPolicy(simulation, node, this == ROUND_ROBIN);
    }

    ServingPolicy servingPolicy(Simulation simulation, Node node) {
        return switch (this) {
            case PLANTAINSHUNT -> new PlantainshuntServingPolicy(node);
            case NO_CONTROL -> LimitServingPolicy.unlimited(node);
            case FIXED_LIMIT -> LimitServingPolicy.fixedLimit(node);
            case ROUND_ROBIN -> LimitServingPolicy.connectionLimit(node);
        };
    }
}
