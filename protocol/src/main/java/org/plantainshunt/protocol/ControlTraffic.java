package org.plantainshunt.protocol;

import java.util.concurrent.atomic.LongAdder;

import org.plantainshunt.protocol.wire.Frame;

/**
 * Counts the bytes of control traffic: documents with their announcements and requests, draining notices and pings.
 *
 * <p>Documents count although {@link FrameWriter} sends them as streams; refusals, cancellations and ticket frames do
 * not count although it sends them as control frames. Safe for use by any thread.
 */
final class ControlTraffic {
    private static final int LENGTH_BYTES = 4;

    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    void sent(Frame frame) {
        count(frame, sent);
    }

    void received(Frame frame) {
        count(frame, received);
    }

    long sentBytes() {
        return sent.sum();
    }

    long receivedBytes() {
        return received.sum();
    }

    private static void count(Frame frame, LongAdder bytes) {
        switch (frame.getContentCase()) {
            case DRAINING, DOCUMENT_ANNOUNCEMENT, DOCUMENT_REQUEST, DOCUMENT_PART, PING, PONG -> bytes.add(
                    frame.getSerializedSize() + LENGTH_BYTES);
            default -> {
                // Frames of calls, ticket requests and handshakes are not control traffic.
            }
        }
    }
}
