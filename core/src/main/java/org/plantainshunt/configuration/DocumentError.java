package org.plantainshunt.configuration;

/**
 * An error in a configuration document.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param line the line of the error, counted from 1; 0 if the error concerns the document as a whole
 * @param section the heading of the section without brackets, or an empty string
 * @param key the key, or an empty string
 * @param code the error code
 * @param message what is wrong and what to write instead, in one line
 */
public record DocumentError(int line, String section, String key, DocumentErrorCode code, String message) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        if (line > 0) {
            text.append("line ").append(line).append(": ");
        }
        if (!section.isEmpty()) {
            text.append('[').append(section).append("] ");
        }
        if (!key.isEmpty()) {
            text.append(key).append(": ");
        }
        return text.append(message)
                .append(" (")
                .append(code.number())
                .append(')')
                .toString();
    }
}
