package org.plantainshunt.configuration;

import java.util.List;

/**
 * Thrown for a configuration document that is not valid.
 *
 * <p>Carries all errors that were found, in the order of their lines, at most {@value ErrorList#MAX_ERRORS}; a
 * longer list ends with {@link DocumentErrorCode#TOO_MANY_ERRORS}.
 */
public class InvalidDocumentException extends Exception {
    private final transient List<DocumentError> errors;

    /** Creates the exception; {@code errors} must not be empty. */
    public InvalidDocumentException(List<DocumentError> errors) {
        super(summary(errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors in the order of their lines; never empty. */
    public List<DocumentError> errors() {
        return errors;
    }

    private static String summary(List<DocumentError> errors) {
        String first = errors.get(0).toString();
        return errors.size() == 1 ? first : first + " and " + (errors.size() - 1) + " more";
    }
}
