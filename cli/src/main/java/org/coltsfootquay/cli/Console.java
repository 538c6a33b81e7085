package org.coltsfootquay.cli;

import java.io.PrintStream;

/**
 * Output of a command.
 *
 * @param out results
 * @param err progress and errors
 */
public record Console(PrintStream out, PrintStream err) {

    /**
     * Writes a line of the result.
     *
     * @param line line
     */
    public void print(String line) {
        out.println(line);
    }

    /**
     * Writes a line of progress or an error.
     *
     * @param line line
     */
    public void report(String line) {
        err.println(line);
    }
}
