package org.plantainshunt.cli;

import java.util.List;

/**
 * The status of the queried nodes.
 *
 * @param nodes the nodes in the order of the arguments
 */
record StatusReport(List<NodeStatus> nodes) implements Report {
    private static final int MAX_DIGEST_LENGTH = 8;
    private static final int MAX_REJECTION_LENGTH = 60;

    @Override
    public String text() {
        TextTable table = new TextTable(
                "NODE",
                "SERVICE",
                "STATE",
                "READY",
                "CONFIGURATION",
                "RUNNING",
                "WAITING",
                "LIMIT",
                "LEVEL",
                "UPSTREAMS",
                "LAST REJECTION");
        for (NodeStatus node : nodes) {
            if (node.answered()) {
                addRow(table, node);
            } else {
                table.add(node.address(), "-", "no answer", "-", "-", "-", "-", "-", "-", "-", node.failure());
            }
        }
        return table.toString();
    }

    private static void addRow(TextTable table, NodeStatus node) {
        table.add(
                node.node(),
                node.service(),
                node.state(),
                node.ready() ? "yes" : "no",
                configuration(node),
                node.running(),
                node.waiting(),
                node.limit(),
                node.level(),
                node.usableUpstreams() + "/" + node.upstreams().size(),
                rejection(node));
    }

    private static String configuration(NodeStatus node) {
        if (node.digest().isEmpty()) {
            return "none";
        }
        int length = Math.min(MAX_DIGEST_LENGTH, node.digest().length());
        return node.configuration() + " " + node.digest().substring(0, length);
    }

    private static String rejection(NodeStatus node) {
        String rejection = node.rejection();
        if (rejection.isEmpty()) {
            return "-";
        }
        return rejection.length() <= MAX_REJECTION_LENGTH
                ? rejection
                : rejection.substring(0, MAX_REJECTION_LENGTH) + "...";
    }

    /** A node that does not answer takes precedence over an unhealthy one, because its state is unknown. */
    @Override
    public ExitCode exitCode() {
        if (!nodes.stream().allMatch(NodeStatus::answered)) {
            return ExitCode.UNREADABLE;
        }
        return nodes.stream().allMatch(NodeStatus::healthy) ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
