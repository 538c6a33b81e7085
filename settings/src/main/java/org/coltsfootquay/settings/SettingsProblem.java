package org.coltsfootquay.settings;

/**
 * Error in a settings file.
 *
 * @param path path to the field, for example {@code servers[2].zone}; {@code $} for the whole file
 * @param found description of the invalid content
 * @param remedy instruction for correcting the error
 */
public record SettingsProblem(String path, String found, String remedy) {

    @Override
    public String toString() {
        return path + ": found " + found + "; " + remedy;
    }
}
