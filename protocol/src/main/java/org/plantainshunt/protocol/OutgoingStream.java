package org.plantainshunt.protocol;

import java.util.function.Consumer;

import org.plantainshunt.protocol.wire.Frame;

/** A sequence of frames to be sent. The streams of a connection are sent round-robin, one turn at a time. */
interface OutgoingStream {
    /**
     * Writes the frames of one turn, with at most one chunk of a body.
     *
     * @return whether there is more to send
     */
    boolean writeTurn(Consumer<Frame> output);
}
