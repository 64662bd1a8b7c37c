package org.plantainshunt.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.plantainshunt.configuration.DocumentErrorCode;
import org.plantainshunt.result.ResultCode;

/**
 * The list of all result codes and configuration error codes.
 *
 * @param results the codes of requests, in the order of their numbers
 * @param configurationErrors the codes of errors in documents, in the order of their numbers
 */
record CodesReport(List<Result> results, List<ConfigurationError> configurationErrors) implements Report {
    /**
     * A result code of requests.
     *
     * @param number the number
     * @param name the name
     * @param run whether the request ran
     * @param httpStatus the HTTP status of the response; 0 if it is that of the backend server
     * @param retryElsewhere whether another backend server may be tried, whatever the kind of request
     * @param explanation one sentence
     */
    record Result(int number, String name, String run, int httpStatus, boolean retryElsewhere, String explanation) {}

    /**
     * A code of errors in documents.
     *
     * @param number the number
     * @param name the name
     * @param explanation one sentence
     */
    record ConfigurationError(int number, String name, String explanation) {}

    static CodesReport all() {
        List<Result> results = new ArrayList<>();
        for (ResultCode code : ResultCode.values()) {
            results.add(new Result(
                    code.number(),
                    code.name(),
                    code.runState().label(),
                    isAnswer(code) ? 0 : code.httpStatus(),
                    code.retryElsewhere(),
                    code.explanation()));
        }
        results.sort(Comparator.comparingInt(Result::number));
        List<ConfigurationError> errors = new ArrayList<>();
        for (DocumentErrorCode code : DocumentErrorCode.values()) {
            errors.add(new ConfigurationError(code.number(), code.name(), code.explanation()));
        }
        return new CodesReport(results, errors);
    }

    private static boolean isAnswer(ResultCode code) {
        return code == ResultCode.ANSWERED || code == ResultCode.ANSWERED_AGAIN;
    }

    @Override
    public String text() {
        TextTable requests = new TextTable("NUMBER", "NAME", "RUN", "HTTP", "RETRY ELSEWHERE", "EXPLANATION");
        for (Result result : results) {
            requests.add(
                    result.number(),
                    result.name(),
                    result.run(),
                    result.httpStatus() == 0 ? "backend" : result.httpStatus(),
                    result.retryElsewhere() ? "yes" : "no",
                    result.explanation());
        }
        TextTable errors = new TextTable("NUMBER", "NAME", "EXPLANATION");
        for (ConfigurationError error : configurationErrors) {
            errors.add(error.number(), error.name(), error.explanation());
        }
        return "Requests\n" + requests + "\nConfiguration documents\n" + errors;
    }

    @Override
    public ExitCode exitCode() {
        return ExitCode.SUCCESS;
    }
}
