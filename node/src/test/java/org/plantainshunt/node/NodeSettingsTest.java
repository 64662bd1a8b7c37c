package org.plantainshunt.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Invalid settings must be rejected with a message that names the section and the key. */
class NodeSettingsTest {
    static final String GOOD =
            """
            [node]
            name = front-1
            data-centre = one-1
            region = one
            service = front
            caller-address = 127.0.0.1:7001
            outbound-address = 127.0.0.1:7002
            inner-address = 127.0.0.1:7003
            admin-address = [::1]:7004

            [backend-server]
            address = 127.0.0.1:7005

            [platform]
            address = 127.0.0.1:7006

            [seeds]
            peers = 127.0.0.1:7007, 127.0.0.2:7007

            [security]
            shared-secret = 0123456789abcdef

            [trace]
            spans = off
            """;

    @TempDir
    Path directory;

    @Test
    void readsEachValue() throws Exception {
        NodeSettings settings = read(GOOD);
        assertEquals("front-1", settings.name());
        assertEquals(new InetSocketAddress("::1", 7004), settings.adminAddress());
        assertEquals(
                List.of(new InetSocketAddress("127.0.0.1", 7007), new InetSocketAddress("127.0.0.2", 7007)),
                settings.seeds());
        assertTrue(settings.spanFile().isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "service = front                 |                                | missing [node] service",
                "service = front                 | service =                      | missing [node] service",
                "service = front                 | srvice = front                 | unknown key [node] srvice",
                "service = front                 | service = front@service = back | [node] service is given more than",
                "[trace]                         | [tracing] | unknown section [tracing]",
                "[node]                          | a = 1@[node]                   | before the first section",
                "caller-address = 127.0.0.1:7001 | caller-address = vm:7001       | [node] caller-address is not IP",
                "caller-address = 127.0.0.1:7001 | caller-address = 127.0.0.300:1 | [node] caller-address is not IP",
                "caller-address = 127.0.0.1:7001 | caller-address = 127.0.0.1     | [node] caller-address is not IP",
                "caller-address = 127.0.0.1:7001 | caller-address = 127.0.0.1:0   | [node] caller-address has port 0",
                "caller-address = 127.0.0.1:7001 | caller-address = 127.0.0.1:7e4 | [node] caller-address is not IP",
                "127.0.0.2:7007                  | 127.0.0.2                      | [seeds] peers is not IP",
                "0123456789abcdef                | short                          | [security] shared-secret has fewer",
            })
    void wrongValuesAreNamed(String line, String replacement, String message) {
        String text = GOOD.replace(line, replacement == null ? "" : replacement.replace('@', '\n'));
        InvalidSettingsException error = assertThrows(InvalidSettingsException.class, () -> read(text));
        assertTrue(error.getMessage().contains(message), error.getMessage());
    }

    @Test
    void unreadableFilesAreNamed() throws Exception {
        Path binary = Files.write(directory.resolve("binary.ini"), new byte[] {(byte) 0xff, (byte) 0xfe});
        for (Path file : List.of(directory, directory.resolve("absent.ini"), binary)) {
            InvalidSettingsException error =
                    assertThrows(InvalidSettingsException.class, () -> NodeSettings.read(file));
            assertTrue(error.getMessage().startsWith("cannot read " + file), error.getMessage());
        }
    }

    private NodeSettings read(String text) throws Exception {
        return NodeSettings.read(Files.write(directory.resolve("node.ini"), text.getBytes(StandardCharsets.UTF_8)));
    }
}
