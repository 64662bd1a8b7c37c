package org.plantainshunt.configuration;

import java.util.List;

/** Thrown for a VM list that is not valid; carries a message for every error that was found. */
public class InvalidVmListException extends Exception {
    private static final long serialVersionUID = 1L;

    private final List<String> errors;

    /** Creates the exception for at least one error. */
    public InvalidVmListException(List<String> errors) {
        super("the VM list is invalid: " + String.join("; ", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns the messages, one per error. */
    public List<String> errors() {
        return errors;
    }
}
