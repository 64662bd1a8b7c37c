package org.plantainshunt.cli;

import java.util.List;

/**
 * The state of the nodes that were asked.
 *
 * @param nodes the nodes in the order of the arguments
 */
record StatusReport(List<NodeStatus> nodes) implements Report {
    private static final int SHORT_DIGEST = 8;
    private static final int SHORT_REJECTION = 60;

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
                addAnswer(table, node);
            } else {
                table.add(node.address(), "-", "no answer", "-", "-", "-", "-", "-", "-", "-", node.failure());
            }
        }
        return table.toString();
    }

    private static void addAnswer(TextTable table, NodeStatus node) {
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
        int length = Math.min(SHORT_DIGEST, node.digest().length());
        return node.configuration() + " " + node.digest().substring(0, length);
    }

    private static String rejection(NodeStatus node) {
        String rejection = node.rejection();
        if (rejection.isEmpty()) {
            return "-";
        }
        return rejection.length() <= SHORT_REJECTION ? rejection : rejection.substring(0, SHORT_REJECTION) + "...";
    }

    /** A node that does not answer outweighs one that is not in order, because its state is unknown. */
    @Override
    public ExitCode exitCode() {
        if (!nodes.stream().allMatch(NodeStatus::answered)) {
            return ExitCode.UNREADABLE;
        }
        return nodes.stream().allMatch(NodeStatus::inOrder) ? ExitCode.FINE : ExitCode.WRONG;
    }
}
