package org.plantainshunt.bench.fleet;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

import org.apache.commons.configuration2.Configuration;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.plantainshunt.configuration.AllowedCall;
import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.PriorityClass;

/**
 * The parts of a configuration document from which a fleet is built.
 *
 * <p>Parses without validation, which is left to the nodes, so the document must be valid. Immutable and safe for use
 * by any thread.
 *
 * @param bytes the document as served by the platform
 * @param name the name of the document
 * @param dataCentres the data centres in the order of the document
 * @param services the services with the limits of one backend server
 * @param kinds the kinds of requests
 * @param retriesPerRequest the maximum number of retries for one request
 */
public record FleetDocument(
        byte[] bytes,
        String name,
        List<DataCentre> dataCentres,
        List<ServiceLimits> services,
        List<Kind> kinds,
        int retriesPerRequest) {
    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_RETRIES = 3;
    private static final int MIN_SLOTS = 2;
    private static final Pattern LIMIT = Pattern.compile("(?m)^((?:slots|queue)\\s*=\\s*)(\\d+)");

    /** Copies the lists. */
    public FleetDocument {
        dataCentres = List.copyOf(dataCentres);
        services = List.copyOf(services);
        kinds = List.copyOf(kinds);
    }

    /**
     * The limits of one backend server of a service.
     *
     * @param name the name of the service
     * @param slots the number of requests that run concurrently
     */
    public record ServiceLimits(String name, int slots) {}

    /**
     * Reads a document.
     *
     * @param bytes the INI text in UTF-8
     * @throws IOException if the text is not a configuration document
     */
    public static FleetDocument read(byte[] bytes) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try (StringReader reader = new StringReader(new String(bytes, StandardCharsets.UTF_8))) {
            ini.read(reader);
        } catch (ConfigurationException failure) {
            throw new IOException("not an INI document", failure);
        }
        List<DataCentre> dataCentres = new ArrayList<>();
        List<ServiceLimits> services = new ArrayList<>();
        List<Kind> kinds = new ArrayList<>();
        for (String heading : ini.getSections()) {
            if (heading == null) {
                continue;
            }
            Configuration section = ini.getSection(heading);
            String[] words = heading.split(" +");
            switch (words[0]) {
                case "data-centre" -> dataCentres.add(new DataCentre(words[1], section.getString("region")));
                case "service" -> services.add(new ServiceLimits(words[1], section.getInt("slots", DEFAULT_SLOTS)));
                case "kind" -> kinds.add(kind(words, section));
                default -> {}
            }
        }
        String name = ini.getSection("document").getString("name", "fleet");
        int retries = ini.getSection("policy").getInt("retries-per-request", DEFAULT_RETRIES);
        return new FleetDocument(bytes.clone(), name, dataCentres, services, kinds, retries);
    }

    /** Returns the kind of request with this service and name, if the document defines it. */
    public Optional<Kind> kind(String service, String name) {
        return kinds.stream()
                .filter(kind -> kind.service().equals(service) && kind.name().equals(name))
                .findFirst();
    }

    /**
     * Returns this document scaled to smaller backend servers: slots and queue limits are divided.
     *
     * @param divisor the divisor; no limit falls below 2
     * @throws IOException if the text is not a configuration document
     */
    public FleetDocument withSlotsDividedBy(int divisor) throws IOException {
        String text = LIMIT.matcher(new String(bytes, StandardCharsets.UTF_8))
                .replaceAll(match -> match.group(1) + Math.max(MIN_SLOTS, Integer.parseInt(match.group(2)) / divisor));
        return read(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Kind kind(String[] heading, Configuration section) throws IOException {
        return new Kind(
                heading[1],
                heading[2],
                PriorityClass.valueOf(section.getString("class").toUpperCase(Locale.ROOT)),
                section.getString("runs").equals("at-most-once"),
                duration(section.getString("deadline")),
                calls(section.getString("calls", "")));
    }

    private static List<AllowedCall> calls(String text) {
        List<AllowedCall> calls = new ArrayList<>();
        for (String call : text.split(",", -1)) {
            if (!call.isBlank()) {
                String[] words = call.strip().split(" +");
                calls.add(new AllowedCall(words[0], words[1], Integer.parseInt(words[2].substring(1))));
            }
        }
        return calls;
    }

    private static Duration duration(String text) throws IOException {
        String[] words = text.strip().split(" +");
        long amount = Long.parseLong(words[0]);
        return switch (words[1]) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "min" -> Duration.ofMinutes(amount);
            default -> throw new IOException("unknown unit of time: " + text);
        };
    }
}
