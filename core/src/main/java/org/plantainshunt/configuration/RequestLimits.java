package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * The size and time limits for requests of callers.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param headerBytes the maximum sizes of the request line and of the header, in bytes each
 * @param bodyBytes the maximum size of the body, in bytes
 * @param headerTime the longest time from the first byte of a request to the end of its header; also the longest
 *     pause before each following part of its body
 * @param idleTime the longest time that a connection without a request is kept
 */
public record RequestLimits(int headerBytes, long bodyBytes, Duration headerTime, Duration idleTime) {
    /** The limits of a node that has no configuration, or whose configuration states none. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 1L << 20, Duration.ofSeconds(3), Duration.ofSeconds(60));
}
