package org.coltsfootquay.standin.settings;

/**
 * One mistake in settings.
 *
 * @param path path of the field, such as {@code $.capacity}
 * @param found what was found there
 * @param remedy what to write instead
 */
public record Mistake(String path, String found, String remedy) {

    @Override
    public String toString() {
        return path + ": found " + found + "; " + remedy;
    }
}
