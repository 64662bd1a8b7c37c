package org.plantainshunt.configuration;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * The platform's list of VMs, which may lag behind the actual state.
 *
 * <p>Lists are ordered by their revision; validity depends on the text alone. Immutable and safe for use by any thread.
 *
 * @param revision the number of the list, 0 or more
 * @param vms the VMs, in the order of the text
 */
public record VmList(long revision, List<Vm> vms) implements Comparable<VmList> {
    private static final String LIST_SECTION = "vm-list";
    private static final String VM_PREFIX = "vm ";
    private static final List<String> VM_KEYS =
            List.of("service", "data-centre", "address", "inner-port", "state", "slots", "instance");

    /** Copies the list of VMs. */
    public VmList {
        vms = List.copyOf(vms);
    }

    /**
     * Reads a VM list.
     *
     * <pre>{@code
     * [vm-list]
     * revision = 7
     * [vm playlist-1]
     * service = playlist
     * data-centre = erie-1
     * address = 10.0.0.4
     * inner-port = 7001
     * state = live
     * slots = 130
     * instance = i-7f3a
     * }</pre>
     *
     * @throws InvalidVmListException with every error, if the text is not a valid VM list
     */
    public static VmList parse(String text) throws InvalidVmListException {
        return new Parser().parse(text);
    }

    /** Returns the list in the notation of {@link #parse}. */
    public String text() {
        StringBuilder text = new StringBuilder("[" + LIST_SECTION + "]\nrevision = " + revision + "\n");
        for (Vm vm : vms) {
            text.append("\n[").append(VM_PREFIX).append(vm.name()).append("]\nservice = ");
            text.append(vm.service()).append("\ndata-centre = ").append(vm.dataCentre());
            text.append("\naddress = ")
                    .append(vm.address())
                    .append("\ninner-port = ")
                    .append(vm.innerPort());
            text.append("\nstate = ").append(vm.leaving() ? "leaving" : "live").append('\n');
            vm.slots().ifPresent(slots -> text.append("slots = ").append(slots).append('\n'));
            vm.instance().ifPresent(id -> text.append("instance = ").append(id).append('\n'));
        }
        return text.toString();
    }

    @Override
    public int compareTo(VmList other) {
        return Long.compare(revision, other.revision);
    }

    /** Reads one list and collects the errors. */
    private static final class Parser {
        private final List<String> errors = new ArrayList<>();
        private final List<Vm> vms = new ArrayList<>();
        private final Map<String, String> vmOfAddress = new HashMap<>();
        private long revision;

        VmList parse(String text) throws InvalidVmListException {
            INIConfiguration ini = new INIConfiguration();
            try {
                ini.read(new StringReader(text));
            } catch (ConfigurationException | IOException e) {
                throw new InvalidVmListException(List.of("not an INI document: " + e.getMessage()));
            }
            // The nodes are read directly, because the view of a section searches all sections: with 1,600 VMs this
            // took several times as long as the rest of the parsing.
            boolean hasListSection = false;
            for (ImmutableNode section :
                    ini.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
                hasListSection |= section.getNodeName().equals(LIST_SECTION);
                readSection(section);
            }
            if (!hasListSection) {
                errors.add(0, "section [" + LIST_SECTION + "] is missing");
            }
            if (!errors.isEmpty()) {
                throw new InvalidVmListException(errors);
            }
            return new VmList(revision, vms);
        }

        private void readSection(ImmutableNode section) {
            String name = section.getNodeName();
            if (section.getValue() != null) {
                errors.add("there are keys before the first section");
            } else if (name.equals(LIST_SECTION)) {
                checkKeys(name, section, List.of("revision"));
                revision = number(name, section, "revision", 0, Long.MAX_VALUE);
            } else if (name.startsWith(VM_PREFIX)) {
                readVm(name, section);
            } else {
                errors.add("[" + name + "]: unknown section");
            }
        }

        private void readVm(String heading, ImmutableNode section) {
            int errorsBefore = errors.size();
            String name = heading.substring(VM_PREFIX.length()).trim();
            if (!Vm.isName(name)) {
                errors.add("[" + heading + "]: \"" + name + "\" is not a name of letters, digits, '.', '-' and '_'");
            }
            checkKeys(heading, section, VM_KEYS);
            String service = name(heading, section, "service");
            String dataCentre = name(heading, section, "data-centre");
            String address = text(heading, section, "address");
            if (!address.isEmpty() && !Vm.isIpAddress(address)) {
                errors.add("[" + heading + "]: address \"" + address + "\" is not an IP address");
            }
            int port = (int) number(heading, section, "inner-port", 1, Vm.MAX_PORT);
            String state = text(heading, section, "state");
            if (!state.isEmpty() && !state.equals("live") && !state.equals("leaving")) {
                errors.add("[" + heading + "]: state \"" + state + "\" is neither live nor leaving");
            }
            String earlier = vmOfAddress.putIfAbsent(address + " port " + port, name);
            if (earlier != null && !address.isEmpty()) {
                errors.add("[" + heading + "]: " + address + " port " + port + " is already that of " + earlier);
            }
            OptionalInt slots = hasKey(section, "slots")
                    ? OptionalInt.of((int) number(heading, section, "slots", 1, Vm.MAX_SLOTS))
                    : OptionalInt.empty();
            Optional<String> instance =
                    hasKey(section, "instance") ? Optional.of(name(heading, section, "instance")) : Optional.empty();
            if (errors.size() > errorsBefore) {
                return;
            }
            vms.add(new Vm(name, service, dataCentre, address, port, state.equals("leaving"), slots, instance));
        }

        private static boolean hasKey(ImmutableNode section, String key) {
            return section.getChildren().stream()
                    .anyMatch(child -> child.getNodeName().equals(key));
        }

        private void checkKeys(String heading, ImmutableNode section, Collection<String> known) {
            Set<String> seen = new HashSet<>();
            for (ImmutableNode child : section.getChildren()) {
                String key = child.getNodeName();
                if (!known.contains(key)) {
                    errors.add("[" + heading + "]: unknown key " + key);
                } else if (!seen.add(key)) {
                    errors.add("[" + heading + "]: " + key + " is stated more than once");
                }
            }
        }

        private String text(String heading, ImmutableNode section, String key) {
            String value = raw(section, key).trim();
            if (value.isEmpty()) {
                errors.add("[" + heading + "]: " + key + " is missing");
            }
            return value;
        }

        /** Returns the first value as written; getString would substitute ${...} from the environment. */
        private static String raw(ImmutableNode section, String key) {
            for (ImmutableNode child : section.getChildren()) {
                if (child.getNodeName().equals(key)) {
                    return String.valueOf(child.getValue());
                }
            }
            return "";
        }

        private String name(String heading, ImmutableNode section, String key) {
            String value = text(heading, section, key);
            if (!value.isEmpty() && !Vm.isName(value)) {
                errors.add("[" + heading + "]: " + key + " \"" + value + "\" is not a name");
            }
            return value;
        }

        private long number(String heading, ImmutableNode section, String key, long min, long max) {
            String value = text(heading, section, key);
            if (value.isEmpty()) {
                return min;
            }
            try {
                long number = Long.parseLong(value);
                if (number >= min && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // Reported below, together with numbers out of range.
            }
            errors.add("[" + heading + "]: " + key + " \"" + value + "\" is not a number from " + min + " to " + max);
            return min;
        }
    }
}
