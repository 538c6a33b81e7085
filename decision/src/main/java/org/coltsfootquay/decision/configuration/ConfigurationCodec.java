package org.coltsfootquay.decision.configuration;

import io.vavr.control.Either;
import java.util.List;

/** Port that converts between the stored form of a configuration and the configuration. */
public interface ConfigurationCodec {

    /**
     * Reads and checks a stored configuration.
     *
     * @param version version to give to the configuration; the stored form does not contain it
     * @param content stored form
     * @return the configuration, or the problems found, each with its remedy
     */
    Either<List<String>, FleetConfiguration> decode(long version, byte[] content);

    /**
     * Converts a configuration to its stored form.
     *
     * @param configuration configuration
     * @return stored form; equal configurations give equal bytes whatever their versions
     */
    byte[] encode(FleetConfiguration configuration);
}
