package org.plantainshunt.standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand {@code load}: prints progress to standard error and the result as JSON to standard output. */
final class LoadCommand implements Command {
    private static final int DEFAULT_ATTEMPTS = 4;
    private static final int DEFAULT_OUTSTANDING_LIMIT = 20_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public Subparser describe(Subparsers subparsers) {
        Subparser parser = subparsers.addParser("load").help("generates open-loop load");
        parser.addArgument("--entry").action(Arguments.append()).required(true).metavar("IP:PORT");
        parser.addArgument("--kind")
                .action(Arguments.append())
                .required(true)
                .metavar("SERVICE/KIND=RATE[,class=CLASS][,once][,deadline=MS][,size=BYTES][,body=BYTES]");
        parser.addArgument("--seconds").type(Double.class).required(true);
        parser.addArgument("--warm-up")
                .type(Double.class)
                .setDefault(0.0)
                .metavar("SECONDS")
                .help("sends requests at a rising rate before counting starts");
        parser.addArgument("--shape").setDefault("steady").help("steady, step:FROM:TO:FACTOR or swing:RISE:FACTOR");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--name").help("prefix of the work ids; derived from the process id by default");
        parser.addArgument("--retries").setDefault("none").help("none, polite or hard");
        parser.addArgument("--attempts").type(Integer.class).setDefault(DEFAULT_ATTEMPTS);
        parser.addArgument("--outstanding").type(Integer.class).setDefault(DEFAULT_OUTSTANDING_LIMIT);
        parser.addArgument("--record").metavar("FILE").help("writes each attempt to a file as a JSON line");
        return parser;
    }

    @Override
    public void run(Namespace options) throws Exception {
        String record = options.getString("record");
        try (Writer writer =
                record == null ? Writer.nullWriter() : new PrintWriter(Files.newBufferedWriter(Path.of(record)))) {
            LoadGenerator generator =
                    new LoadGenerator(plan(options), attempt -> write(writer, attempt), LoadCommand::print);
            System.out.println(JSON.writeValueAsString(generator.run()));
        }
    }

    static LoadPlan plan(Namespace options) {
        List<String> entries = options.getList("entry");
        List<String> kinds = options.getList("kind");
        String name = options.getString("name");
        return new LoadPlan(
                name == null ? "w" + ProcessHandle.current().pid() : name,
                entries.stream().map(Endpoint::parse).toList(),
                kinds.stream().map(KindLoad::parse).toList(),
                LoadShape.parse(options.getString("shape")),
                duration(options, "warm_up"),
                duration(options, "seconds"),
                options.getLong("seed"),
                RetryStyle.parse(options.getString("retries")),
                options.getInt("attempts"),
                options.getInt("outstanding"));
    }

    private static Duration duration(Namespace options, String name) {
        return Duration.ofMillis((long) (options.getDouble(name) * MILLISECONDS_PER_SECOND));
    }

    private static void print(LoadGenerator.Progress progress) {
        System.err.printf(
                "t=%ds offered=%d whole=%d not-run=%d unknown=%d outstanding=%d%n",
                progress.second(),
                progress.offered(),
                progress.whole(),
                progress.notRun(),
                progress.unknown(),
                progress.outstanding());
    }

    private static void write(Writer writer, AttemptRecord attempt) {
        try {
            String line = JSON.writeValueAsString(attempt) + "\n";
            synchronized (writer) {
                writer.write(line);
            }
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("cannot write an attempt record as JSON", failure);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write to the file of attempt records", failure);
        }
    }
}
