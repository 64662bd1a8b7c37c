package org.plantainshunt.configuration;

/**
 * A data centre and its region.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name the data centre's name
 * @param region the name of the region that it stands in
 */
public record DataCentre(String name, String region) {}
