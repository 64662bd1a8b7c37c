package org.plantainshunt.replay;

/** Thrown for a trace that cannot be replayed; the message says why, with the line where there is one. */
public final class InvalidTraceException extends Exception {
    /** Creates the exception. */
    public InvalidTraceException(String message) {
        super(message);
    }
}
