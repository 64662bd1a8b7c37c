package org.plantainshunt.configuration;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Reads the sections of a document.
 *
 * <p>The values are taken from the nodes of the INI reader and not from its getters, because the getters substitute
 * variables such as {@code ${env:HOME}}, and the meaning of a document must depend on its bytes alone. Stateless.
 */
final class SectionReader {
    private static final String BYTE_ORDER_MARK = "\ufeff";

    private SectionReader() {}

    /** Returns the well-formed sections, in the order of the document. */
    static List<Section> read(byte[] bytes, ErrorList errors) {
        if (bytes.length > Document.MAX_BYTES) {
            errors.add(
                    DocumentErrorCode.DOCUMENT_TOO_LARGE,
                    "the document is too large; shorten it to at most " + Document.MAX_BYTES + " bytes");
            return List.of();
        }
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return sections(text, errors);
        } catch (CharacterCodingException e) {
            errors.add(DocumentErrorCode.NOT_UTF8, "the document is not UTF-8 text; save it in the encoding UTF-8");
            return List.of();
        }
    }

    private static List<Section> sections(String text, ErrorList errors) {
        LineScanner scanner = new LineScanner(withoutByteOrderMark(text, errors), errors);
        if (scanner.sections().isEmpty() && errors.isEmpty()) {
            errors.add(DocumentErrorCode.EMPTY_DOCUMENT, "the document holds no section; write at least [document]");
            return List.of();
        }
        Map<String, ImmutableNode> nodes = nodes(scanner.acceptedText());
        List<Section> sections = new ArrayList<>();
        scanner.sections().forEach((heading, found) -> sections.add(section(found, nodes.get(heading))));
        return sections;
    }

    /** Reports a byte order mark in a separate message, because most editors do not show it. */
    private static String withoutByteOrderMark(String text, ErrorList errors) {
        if (!text.startsWith(BYTE_ORDER_MARK)) {
            return text;
        }
        String message = "the document begins with a byte order mark; save it as UTF-8 without one";
        errors.add(new DocumentError(1, "", "", DocumentErrorCode.MALFORMED_LINE, message));
        return text.substring(1);
    }

    private static Map<String, ImmutableNode> nodes(String text) {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw new IllegalStateException("the INI reader failed on text in memory", e);
        }
        Map<String, ImmutableNode> nodes = new HashMap<>();
        for (ImmutableNode node :
                ini.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
            nodes.put(node.getNodeName(), node);
        }
        return nodes;
    }

    private static Section section(LineScanner.FoundSection found, ImmutableNode node) {
        Map<String, Section.Entry> entries = new LinkedHashMap<>();
        for (ImmutableNode child : node.getChildren()) {
            String key = child.getNodeName();
            String value = child.getValue() == null ? "" : child.getValue().toString();
            entries.put(key, new Section.Entry(found.keyLines().get(key), value));
        }
        Set<String> malformedKeys = new HashSet<>(found.keyLines().keySet());
        malformedKeys.removeAll(entries.keySet());
        return new Section(found.line(), found.type(), found.names(), entries, malformedKeys);
    }
}
