package org.plantainshunt.standins;

/** The outcome of a request, after all its attempts, as seen by the caller. */
public enum RequestOutcome {
    /** An intact response arrived within the deadline. */
    WHOLE,
    /** An intact response arrived after the deadline. */
    LATE,
    /** The caller knows that the request did not run. */
    NOT_RUN,
    /** The request ran and the backend server responded with an error. */
    FAILED,
    /** The caller cannot know whether the request ran. */
    UNKNOWN,
    /** The status was successful, but the body was truncated, corrupted or belonged to another request. */
    DAMAGED
}
