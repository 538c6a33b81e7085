package org.coltsfootquay.decision.configuration;

import io.vavr.control.Either;
import java.util.List;

/** Port that encodes and decodes stored configurations. */
public interface ConfigurationCodec {

    /**
     * Decodes and validates a stored configuration.
     *
     * @param version version to assign to the configuration; the stored form does not contain it
     * @param content stored form
     * @return the configuration, or the problems found, each with its remedy
     */
    Either<List<String>, FleetConfiguration> decode(long version, byte[] content);

    /**
     * Encodes a configuration.
     *
     * @param configuration configuration
     * @return stored form; equal for configurations that differ only in their versions
     */
    byte[] encode(FleetConfiguration configuration);
}
