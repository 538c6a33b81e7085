package org.coltsfootquay.settings;

/**
 * Mistake in a settings file.
 *
 * @param path path of the field, for example {@code servers[2].zone}; {@code $} for the whole file
 * @param found what was found
 * @param remedy what to write instead
 */
public record SettingsProblem(String path, String found, String remedy) {

    @Override
    public String toString() {
        return path + ": found " + found + "; " + remedy;
    }
}
