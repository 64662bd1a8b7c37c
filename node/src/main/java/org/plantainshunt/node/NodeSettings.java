package org.plantainshunt.node;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * The settings that a node reads from its INI file at startup.
 *
 * <p>The key {@code region} is accepted for the operators' own use and ignored; the node takes its region from the
 * configuration, so that all nodes agree on it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the node and of its VM
 * @param dataCentre the data centre of the VM
 * @param service the service that the backend server on the node's VM belongs to
 * @param callerAddress where outside callers connect
 * @param outboundAddress the loopback address to which the backend server sends its own calls
 * @param innerAddress where other nodes connect
 * @param adminAddress where operators connect
 * @param backendServer the address of the backend server
 * @param platform the address of the platform's configuration service
 * @param seeds the inner addresses of the nodes that a node without configuration contacts first
 * @param sharedSecret the secret that all nodes share
 * @param spanFile the file for trace spans, if tracing is on
 * @param decisionFile the file for the decision records, if recording is on
 */
public record NodeSettings(
        String name,
        String dataCentre,
        String service,
        InetSocketAddress callerAddress,
        InetSocketAddress outboundAddress,
        InetSocketAddress innerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress backendServer,
        InetSocketAddress platform,
        List<InetSocketAddress> seeds,
        String sharedSecret,
        Optional<Path> spanFile,
        Optional<Path> decisionFile) {
    private static final int MIN_SECRET_CHARACTERS = 16;
    private static final String OFF = "off";
    private static final Map<String, Set<String>> KNOWN_KEYS = Map.of(
            "node",
                    Set.of(
                            "name",
                            "data-centre",
                            "region",
                            "service",
                            "caller-address",
                            "outbound-address",
                            "inner-address",
                            "admin-address"),
            "backend-server", Set.of("address"),
            "platform", Set.of("address"),
            "seeds", Set.of("peers"),
            "security", Set.of("shared-secret"),
            "trace", Set.of("spans", "decisions"));

    /**
     * Reads a settings file.
     *
     * @throws InvalidSettingsException if the file cannot be read, or a value is missing, unknown or malformed
     */
    public static NodeSettings read(Path file) throws InvalidSettingsException {
        return read(file, Set.of());
    }

    /**
     * Reads a settings file that also has sections for an adapter.
     *
     * @param adapterSections the sections that the adapter reads and validates
     * @throws InvalidSettingsException if the file cannot be read, or a value is missing, unknown or malformed
     */
    public static NodeSettings read(Path file, Set<String> adapterSections) throws InvalidSettingsException {
        return read(SettingsFile.read(file), adapterSections);
    }

    /**
     * Reads the settings from a file whose other sections an adapter reads and validates.
     *
     * @param adapterSections the sections that the adapter reads and validates
     * @throws InvalidSettingsException if a value is missing, unknown or malformed
     */
    public static NodeSettings read(SettingsFile ini, Set<String> adapterSections) throws InvalidSettingsException {
        checkKeys(ini, adapterSections);
        String secret = required(ini, "security", "shared-secret");
        if (secret.length() < MIN_SECRET_CHARACTERS) {
            throw new InvalidSettingsException(
                    "[security] shared-secret has fewer than " + MIN_SECRET_CHARACTERS + " characters");
        }
        return new NodeSettings(
                required(ini, "node", "name"),
                required(ini, "node", "data-centre"),
                required(ini, "node", "service"),
                address(ini, "node", "caller-address"),
                address(ini, "node", "outbound-address"),
                address(ini, "node", "inner-address"),
                address(ini, "node", "admin-address"),
                address(ini, "backend-server", "address"),
                address(ini, "platform", "address"),
                seedAddresses(ini),
                secret,
                file(ini, "spans"),
                file(ini, "decisions"));
    }

    private static void checkKeys(SettingsFile ini, Set<String> adapterSections) throws InvalidSettingsException {
        for (String section : ini.sections()) {
            if (adapterSections.contains(section)) {
                continue;
            }
            if (!KNOWN_KEYS.containsKey(section)) {
                throw new InvalidSettingsException("unknown section [" + section + "]");
            }
            for (String key : ini.keys(section)) {
                if (!KNOWN_KEYS.get(section).contains(key)) {
                    throw new InvalidSettingsException("unknown key [" + section + "] " + key);
                }
                if (ini.count(section, key) > 1) {
                    throw new InvalidSettingsException("[" + section + "] " + key + " is given more than once");
                }
            }
        }
    }

    private static String required(SettingsFile ini, String section, String key) throws InvalidSettingsException {
        return ini.value(section, key)
                .orElseThrow(() -> new InvalidSettingsException("missing [" + section + "] " + key));
    }

    private static InetSocketAddress address(SettingsFile ini, String section, String key)
            throws InvalidSettingsException {
        return address(required(ini, section, key), "[" + section + "] " + key);
    }

    /**
     * Parses an address.
     *
     * @param text an IP address and a port, separated by a colon
     * @param place the section and the key of the text, for the error message
     * @throws InvalidSettingsException if the text is not an address
     */
    public static InetSocketAddress address(String text, String place) throws InvalidSettingsException {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            // Host names are not resolved: settings must contain IP addresses.
            InetSocketAddress address =
                    new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
            if (address.getPort() > 0) {
                return address;
            }
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new InvalidSettingsException(place + " is not IP:port: " + text, e);
        }
        throw new InvalidSettingsException(place + " has port 0: " + text);
    }

    private static List<InetSocketAddress> seedAddresses(SettingsFile ini) throws InvalidSettingsException {
        List<InetSocketAddress> found = new ArrayList<>();
        for (String text : ini.value("seeds", "peers").orElse("").split(",")) {
            if (!text.isBlank()) {
                found.add(address(text.trim(), "[seeds] peers"));
            }
        }
        return List.copyOf(found);
    }

    private static Optional<Path> file(SettingsFile ini, String key) throws InvalidSettingsException {
        try {
            return ini.value("trace", key).filter(text -> !text.equals(OFF)).map(Path::of);
        } catch (InvalidPathException e) {
            throw new InvalidSettingsException("[trace] " + key + " is not a file name: " + e.getMessage(), e);
        }
    }
}
