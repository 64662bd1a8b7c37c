package org.plantainshunt.configuration;

import java.time.Duration;

/**
 * The link between two regions.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param regionA one region
 * @param regionB the other region
 * @param bitsPerSecond the bandwidth in each direction, in bits per second
 * @param latency the one-way latency
 */
public record Link(String regionA, String regionB, long bitsPerSecond, Duration latency) {}
