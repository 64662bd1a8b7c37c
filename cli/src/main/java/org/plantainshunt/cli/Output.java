package org.plantainshunt.cli;

import java.io.PrintStream;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;

/** The output formats of a report. */
enum Output {
    TABLE {
        @Override
        void print(Report report, PrintStream out) {
            out.print(report.text());
        }
    },
    JSON {
        @Override
        void print(Report report, PrintStream out) {
            try {
                out.println(WRITER.writeValueAsString(report));
            } catch (JsonProcessingException e) {
                throw new UncheckedIOException("cannot write the report as JSON", e);
            }
        }
    };

    private static final ObjectWriter WRITER = new ObjectMapper().writerWithDefaultPrettyPrinter();

    abstract void print(Report report, PrintStream out);
}
