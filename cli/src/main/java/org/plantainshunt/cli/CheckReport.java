package org.plantainshunt.cli;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.DocumentError;

/**
 * The result of the validation of a document.
 *
 * @param file the path of the file as given on the command line
 * @param valid whether the document is valid
 * @param document a summary of the document, if it is valid
 * @param errors the errors in the order of their lines
 */
record CheckReport(
        String file, boolean valid, @JsonInclude(JsonInclude.Include.NON_NULL) Summary document, List<Error> errors)
        implements Report {

    /**
     * A summary of a valid document.
     *
     * @param name the document's name
     * @param version the document's version
     * @param digest the SHA-256 hash of the document's bytes in hexadecimal
     * @param regions the number of regions
     * @param dataCentres the number of data centres
     * @param services the number of services
     * @param kinds the number of kinds of request
     */
    record Summary(String name, long version, String digest, int regions, int dataCentres, int services, int kinds) {}

    /**
     * One error of a document.
     *
     * @param line the line, counted from 1; 0 for the document as a whole
     * @param section the section heading without brackets
     * @param key the key
     * @param code the number of the error code
     * @param name the name of the error code
     * @param message what is wrong and how to correct it
     */
    record Error(int line, String section, String key, int code, String name, String message) {}

    static CheckReport valid(String file, Document document) {
        Summary summary = new Summary(
                document.name(),
                document.version().number(),
                document.version().digest(),
                document.regions().size(),
                document.dataCentres().size(),
                document.services().size(),
                document.kinds().size());
        return new CheckReport(file, true, summary, List.of());
    }

    static CheckReport invalid(String file, List<DocumentError> errors) {
        return new CheckReport(
                file, false, null, errors.stream().map(CheckReport::error).toList());
    }

    private static Error error(DocumentError error) {
        return new Error(
                error.line(),
                error.section(),
                error.key(),
                error.code().number(),
                error.code().name(),
                error.message());
    }

    @Override
    public String text() {
        return Optional.ofNullable(document).map(this::validText).orElseGet(this::invalidText);
    }

    private String validText(Summary summary) {
        return file + " is valid: " + summary.name() + " version " + summary.version() + "\n"
                + "digest " + summary.digest() + "\n"
                + summary.regions() + " regions, " + summary.dataCentres() + " data centres, " + summary.services()
                + " services, " + summary.kinds() + " kinds of request\n";
    }

    private String invalidText() {
        TextTable table = new TextTable("LINE", "CODE", "SECTION", "KEY", "MESSAGE");
        for (Error error : errors) {
            table.add(
                    error.line() == 0 ? "-" : error.line(),
                    error.code(),
                    error.section().isEmpty() ? "-" : error.section(),
                    error.key().isEmpty() ? "-" : error.key(),
                    error.message());
        }
        return file + " is not valid: " + errors.size() + (errors.size() == 1 ? " error" : " errors") + "\n" + table;
    }

    @Override
    public ExitCode exitCode() {
        return valid ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
