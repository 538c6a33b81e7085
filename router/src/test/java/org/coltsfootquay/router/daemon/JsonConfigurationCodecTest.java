package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.router.settings.GzipTextUtils;
import org.coltsfootquay.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** Guards against stored configurations that cannot be decoded, depend on the version, or exhaust the memory. */
final class JsonConfigurationCodecTest {

    private final JsonConfigurationCodec codec = new JsonConfigurationCodec();

    private FleetConfiguration example(long version) throws IOException {
        byte[] submitted = Files.readAllBytes(Path.of("..", "config", "examples", "ritningsarkivet.json"));
        return codec.decode(version, submitted).get();
    }

    @Test
    void encodedConfigurationDecodesToEqualOne() throws IOException {
        FleetConfiguration configuration = example(7);
        assertEquals(configuration, codec.decode(7, codec.encode(configuration)).get());
    }

    @Test
    void encodedConfigurationDoesNotDependOnTheVersion() throws IOException {
        assertArrayEquals(codec.encode(example(7)), codec.encode(example(8)));
    }

    @Test
    void truncatedContentIsRejectedWithARemedy() throws IOException {
        byte[] encoded = codec.encode(example(7));
        byte[] truncated = Arrays.copyOf(encoded, encoded.length / 2);
        assertTrue(codec.decode(7, truncated).getLeft().get(0).contains("submit the configuration again"));
    }

    @Test
    void compressedContentAboveTheSizeLimitIsRejected() {
        byte[] bomb = GzipTextUtils.compress(" ".repeat(SettingsReader.MAX_BYTES + 1));
        assertTrue(bomb.length < 10_000);
        assertTrue(codec.decode(7, bomb).getLeft().get(0).contains("larger than"));
    }
}
