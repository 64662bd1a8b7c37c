package org.plantainshunt.bench.capacity;

import java.nio.charset.StandardCharsets;

/** Generates configuration documents and VM list entries of the size that the system is designed for. Stateless. */
final class DesignSizeDocument {
    static final int SERVICES = 64;

    private static final int REGIONS = 7;
    private static final int DATA_CENTRES = 15;
    private static final int KINDS_PER_SERVICE = 4;
    private static final int MAX_CHAIN_LENGTH = 10;

    private DesignSizeDocument() {}

    /** Returns a document with this number of services; call chains are up to ten kinds long. */
    static byte[] document(long version, int services) {
        StringBuilder text = new StringBuilder("[document]\nversion = " + version + "\nname = design-size\n\n");
        for (int region = 0; region < REGIONS; region++) {
            text.append("[region region-").append(region).append("]\n\n");
        }
        for (int centre = 0; centre < DATA_CENTRES; centre++) {
            text.append("[data-centre centre-").append(centre).append("]\nregion = region-");
            text.append(centre % REGIONS).append("\n\n");
        }
        for (int service = 0; service < services; service++) {
            text.append("[service service-").append(service);
            text.append("]\nslots = 30\nconnections = 300\nqueue = 60\ntarget-queue-delay = 20 ms\n\n");
            for (int kind = 0; kind < KINDS_PER_SERVICE; kind++) {
                appendKind(text, services, service, kind);
            }
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendKind(StringBuilder text, int services, int service, int kind) {
        text.append("[kind service-")
                .append(service)
                .append(" kind-")
                .append(kind)
                .append("]\n");
        text.append("class = ").append(kind == 0 ? "critical" : "standard").append('\n');
        text.append("runs = ").append(kind == 0 ? "at-most-once" : "repeatable").append("\ndeadline = 2 s\n");
        boolean deepest = service % MAX_CHAIN_LENGTH == MAX_CHAIN_LENGTH - 1 || service + 1 >= services;
        if (!deepest && kind != 0) {
            text.append("calls = service-")
                    .append(service + 1)
                    .append(" kind-")
                    .append(kind)
                    .append(" x1\n");
        }
        text.append('\n');
    }

    /** Returns a VM list entry without a running VM, so that only the size of the list is measured. */
    static String unreachableVm(int number) {
        return "\n[vm silent-" + number + "]\nservice = service-" + number % SERVICES + "\ndata-centre = centre-"
                + number % DATA_CENTRES + "\naddress = 127.254." + number / 250 + "." + (1 + number % 250)
                + "\ninner-port = 9\nstate = live\n";
    }
}
