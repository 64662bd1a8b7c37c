package org.plantainshunt.standins;

import java.util.Map;

import ratpack.handling.Context;

/**
 * Handles the HTTP control commands of a relay: {@code /control/cut}, {@code refuse}, {@code stall},
 * {@code latency?ms=}, {@code bandwidth?bits=}, {@code forward}, each with optional {@code from=} and {@code to=}, and
 * {@code heal} and {@code status}.
 *
 * <p>Thread-safe.
 */
final class RelayControl {
    private static final int STATUS_BAD_REQUEST = 400;

    private final Relay relay;

    RelayControl(Relay relay) {
        this.relay = relay;
    }

    void handle(Context context) {
        String command = context.getPathBinding().getPastBinding();
        try {
            context.getResponse().send(run(command, context.getRequest().getQueryParams()));
        } catch (IllegalArgumentException failure) {
            context.getResponse().status(STATUS_BAD_REQUEST).send(failure.getMessage() + "\n");
        }
    }

    private String run(String command, Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        switch (command) {
            case "cut" -> relay.updateRule(from, to, rule -> rule.withMode(RelayRule.Mode.CUT));
            case "refuse" -> relay.updateRule(from, to, rule -> rule.withMode(RelayRule.Mode.REFUSE));
            case "stall" -> relay.updateRule(from, to, rule -> rule.withMode(RelayRule.Mode.STALL));
            case "forward" -> relay.updateRule(from, to, rule -> RelayRule.forward(from, to));
            case "latency" -> {
                long milliseconds = Long.parseLong(query.getOrDefault("ms", "0"));
                relay.updateRule(from, to, rule -> rule.withLatency(milliseconds));
            }
            case "bandwidth" -> {
                long bits = Long.parseLong(query.getOrDefault("bits", "0"));
                relay.updateRule(from, to, rule -> rule.withBandwidth(bits));
            }
            case "heal" -> relay.heal();
            case "status" -> {
                return "{\"open\":" + relay.openConnections() + ",\"bytesToTarget\":" + relay.bytesToTarget()
                        + ",\"bytesFromTarget\":" + relay.bytesFromTarget() + "}\n";
            }
            default -> throw new IllegalArgumentException("unknown control: " + command);
        }
        return "ok\n";
    }
}
