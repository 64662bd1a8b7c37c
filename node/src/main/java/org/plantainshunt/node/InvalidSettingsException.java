package org.plantainshunt.node;

/**
 * Thrown when the settings file of a node cannot be read or is invalid; the message names the file or, as far as they
 * apply, the section and the key.
 */
public class InvalidSettingsException extends Exception {
    /** Creates the exception with a message for the operator. */
    public InvalidSettingsException(String message) {
        super(message);
    }

    /** Creates the exception with a message for the operator and the cause. */
    public InvalidSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
