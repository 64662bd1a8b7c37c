package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * The link between two regions.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param regionA one region
 * @param regionB the other region
 * @param bitsPerSecond the bandwidth each way, in bits per second
 * @param latency the time one way
 */
public record Link(String regionA, String regionB, long bitsPerSecond, Duration latency) {}
