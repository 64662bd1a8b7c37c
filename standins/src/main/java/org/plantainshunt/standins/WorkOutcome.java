package org.plantainshunt.standins;

/** How a piece of work ended for its caller. */
public enum WorkOutcome {
    /** A whole answer came within the deadline. */
    WHOLE,
    /** A whole answer came after the deadline. */
    LATE,
    /** The caller knows that the work did not run. */
    NOT_RUN,
    /** The work ran and the backend server answered with an error. */
    FAILED,
    /** The caller cannot know whether the work ran. */
    UNKNOWN,
    /** A successful status came with an answer that is not whole or not its own. */
    DAMAGED
}
