package org.plantainshunt.configuration;

/**
 * A call that the backend server may make while it serves a request.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param service the called service
 * @param kind the called kind of request
 * @param count the number of such calls for one request; further ones take from its retry allowance
 */
public record AllowedCall(String service, String kind, int count) {}
