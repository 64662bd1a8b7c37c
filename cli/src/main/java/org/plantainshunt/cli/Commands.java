package org.plantainshunt.cli;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

import net.sourceforge.argparse4j.inf.Namespace;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.replay.Trace;
import org.plantainshunt.result.ResultCode;

/** The implementations of the subcommands, each usable as a {@link Command}. */
final class Commands {
    /** The upper limit of the key slots in a document. */
    private static final int MAX_SLOTS = 100_000;

    private Commands() {}

    static Report check(Namespace arguments) throws CommandException, InvalidFileException {
        String file = arguments.getString("file");
        return CheckReport.valid(file, DocumentFile.read(file));
    }

    static Report diff(Namespace arguments) throws CommandException, InvalidFileException {
        Document old = DocumentFile.read(arguments.getString("old"));
        return DiffReport.between(old, DocumentFile.read(arguments.getString("new")));
    }

    static Report explain(Namespace arguments) throws CommandException, InvalidFileException {
        Optional<ResultCode> code = code(Optional.ofNullable(arguments.getInt("code")));
        Document document = DocumentFile.read(arguments.getString("file"));
        Kind kind = kind(document, arguments.getString("service"), arguments.getString("kind"));
        return ExplainReport.of(document, kind, code);
    }

    static Report status(Namespace arguments) throws CommandException {
        return new StatusReader().read(arguments.getList("node"));
    }

    static Report replay(Namespace arguments) throws CommandException {
        Optional<Integer> slots = Optional.ofNullable(arguments.getInt("slots"));
        if (slots.isPresent() && (slots.get() < 1 || slots.get() > MAX_SLOTS)) {
            throw new CommandException(ExitCode.USAGE, "--slots is not in 1.." + MAX_SLOTS + ": " + slots.get());
        }
        Trace trace = TraceReader.read(arguments.getString("trace"));
        return ReplayReport.of(trace, slots.map(OptionalInt::of).orElse(OptionalInt.empty()));
    }

    static Report codes(Namespace arguments) {
        return CodesReport.all();
    }

    private static Optional<ResultCode> code(Optional<Integer> number) throws CommandException {
        if (number.isEmpty()) {
            return Optional.empty();
        }
        Optional<ResultCode> code = ResultCode.ofNumber(number.get());
        if (code.isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "no request ends with the result code " + number.get() + "; plantainshunt codes lists all codes");
        }
        return code;
    }

    private static Kind kind(Document document, String service, String name) throws CommandException {
        Optional<Kind> kind = document.kind(service, name);
        if (kind.isPresent()) {
            return kind.get();
        }
        String known = document.kinds().stream()
                .map(other -> other.service() + " " + other.name())
                .collect(Collectors.joining(", "));
        throw new CommandException(
                ExitCode.CHECK_FAILED, "the document has no kind " + service + " " + name + "; it has " + known);
    }
}
