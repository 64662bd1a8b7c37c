package org.plantainshunt.protocol;

import java.util.function.Consumer;

import org.plantainshunt.protocol.wire.Frame;

/** Something of many frames to be sent, in turns with the other streams of a connection. */
interface OutgoingStream {
    /**
     * Writes the frames of one turn, with at most one chunk of a body.
     *
     * @return whether there is more to send
     */
    boolean writeTurn(Consumer<Frame> output);
}
