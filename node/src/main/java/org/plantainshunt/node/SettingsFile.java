package org.plantainshunt.node;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * The values of an INI file by section and key.
 *
 * <p>Each section is read once, since a view of a section of the library takes longer to create than a file to parse.
 * Immutable and safe for use by any thread.
 */
public final class SettingsFile {
    private final Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();

    private SettingsFile(INIConfiguration ini) throws InvalidSettingsException {
        for (String name : ini.getSections()) {
            if (name == null) {
                throw new InvalidSettingsException("a key is before the first section");
            }
            SubnodeConfiguration section = ini.getSection(name);
            Map<String, List<String>> values = new LinkedHashMap<>();
            Iterator<String> keys = section.getKeys();
            while (keys.hasNext()) {
                String key = keys.next();
                values.put(key, List.of(section.getStringArray(key)));
            }
            sections.put(name, values);
        }
    }

    /**
     * Reads a file.
     *
     * @throws InvalidSettingsException if the file cannot be read, is malformed, or has a key outside all sections
     */
    public static SettingsFile read(Path file) throws InvalidSettingsException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            ini.read(reader);
        } catch (NoSuchFileException e) {
            throw new InvalidSettingsException("cannot read " + file + ": no such file", e);
        } catch (CharacterCodingException e) {
            throw new InvalidSettingsException("cannot read " + file + ": not valid UTF-8 text", e);
        } catch (IOException | ConfigurationException e) {
            throw new InvalidSettingsException("cannot read " + file + ": " + e, e);
        }
        return new SettingsFile(ini);
    }

    /** Returns the names of the sections in the order of the file. */
    public Set<String> sections() {
        return sections.keySet();
    }

    /** Returns the keys of a section in the order of the file, or none if there is no such section. */
    public Set<String> keys(String section) {
        return sections.getOrDefault(section, Map.of()).keySet();
    }

    /** Returns how often a key is given in a section. */
    int count(String section, String key) {
        return values(section, key).size();
    }

    /** Returns the trimmed value of a key, or empty if the key is missing or has no value. */
    public Optional<String> value(String section, String key) {
        List<String> values = values(section, key);
        return values.isEmpty()
                ? Optional.empty()
                : Optional.of(values.get(0).trim()).filter(text -> !text.isEmpty());
    }

    private List<String> values(String section, String key) {
        return sections.getOrDefault(section, Map.of()).getOrDefault(key, List.of());
    }
}
