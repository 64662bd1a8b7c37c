package org.plantainshunt.protocol;

import java.util.Objects;

/** State shared by the connections of an endpoint. Safe for use by any thread. */
final class EndpointContext {
    private final InnerSettings settings;
    private final CallHandler callHandler;
    private final PeerHandler peerHandler;
    private final Authenticator authenticator;
    private final ConnectionRegistry connections;
    private final ControlTraffic controlTraffic = new ControlTraffic();
    private volatile LoadReport lastLoad = LoadReport.NONE;

    EndpointContext(InnerSettings settings, CallHandler callHandler, PeerHandler peerHandler) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.callHandler = Objects.requireNonNull(callHandler, "callHandler");
        this.peerHandler = Objects.requireNonNull(peerHandler, "peerHandler");
        this.authenticator = new Authenticator(settings.sharedSecret());
        this.connections = new ConnectionRegistry(peerHandler);
    }

    InnerSettings settings() {
        return settings;
    }

    CallHandler callHandler() {
        return callHandler;
    }

    PeerHandler peerHandler() {
        return peerHandler;
    }

    Authenticator authenticator() {
        return authenticator;
    }

    ConnectionRegistry connections() {
        return connections;
    }

    ControlTraffic controlTraffic() {
        return controlTraffic;
    }

    /** Stores the load that the call handler last reported. */
    void setLastLoad(LoadReport load) {
        lastLoad = load;
    }

    /** Returns the load to send with refusals for which the call handler gives none, such as those of tickets. */
    LoadReport lastLoad() {
        return lastLoad;
    }
}
