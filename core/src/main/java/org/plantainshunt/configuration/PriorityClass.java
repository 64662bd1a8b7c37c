package org.plantainshunt.configuration;

/**
 * How important a request is; classes are shed in reverse order of declaration.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum PriorityClass {
    /** Shed last: schedule pushes, payments and reservations, for example. */
    CRITICAL,
    /** Shed after standard work. */
    IMPORTANT,
    /** Ordinary work. */
    STANDARD,
    /** Shed first: catalogue pages and playlist browsing, for example. */
    SHEDDABLE
}
