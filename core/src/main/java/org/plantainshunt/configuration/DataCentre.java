package org.plantainshunt.configuration;

/**
 * A data centre and its region.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the data centre's name
 * @param region the name of its region
 */
public record DataCentre(String name, String region) {}
