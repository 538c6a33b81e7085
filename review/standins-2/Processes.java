import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Processes of a case: routers by the deploy file, and engines. All are ended with this process. */
final class Processes {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final Path folder;
    private final List<Process> started = new ArrayList<>();

    /**
     * Creates an empty group.
     *
     * @param folder folder of settings, output and the list of process ids that the script ends
     */
    Processes(Path folder) {
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Starts a program with its output in a file. */
    Process start(String name, List<String> command, Map<String, String> environment) throws IOException {
        File output = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (started) {
            started.add(process);
        }
        Files.writeString(
                folder.resolve("pids"),
                process.pid() + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        return process;
    }

    /** Starts a stand-in of this folder as a process of its own. */
    Process startStandIn(String name, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(javaProgram(), "-Xmx128m", "-cp", System.getProperty("java.class.path")));
        command.addAll(arguments);
        return start(name, command, Map.of());
    }

    /** Starts a router with the command of the deploy file and settings from the template. */
    Process startRouter(RouterAddress router, String store, List<String> seeds) throws IOException {
        Path settings = folder.resolve(router.name() + ".json");
        Files.writeString(settings, settings(router, store, seeds));
        return start(router.name(), deployCommand(), Map.of(Wire.get("settings.variable"), settings.toString()));
    }

    /** Sends a signal. */
    static void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void endAll() {
        synchronized (started) {
            for (Process process : started) {
                process.destroyForcibly();
            }
            for (Process process : started) {
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Returns a port that is free on an address. */
    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return probe.getLocalPort();
        }
    }

    private static String javaProgram() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static List<String> deployCommand() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        return List.of(run.group(1).split(" "));
    }

    private static String settings(RouterAddress router, String store, List<String> seeds) throws IOException {
        String text = Files.readString(Path.of("deploy/router.json"));
        StringBuilder seedList = new StringBuilder();
        for (String seed : seeds) {
            seedList.append(seedList.length() == 0 ? "\"" : ",\"").append(seed).append('"');
        }
        text = text.replaceFirst("\\{\\{#Seeds}}.*\\{\\{/Seeds}}", seedList.toString());
        Matcher section = Pattern.compile("(?s)\\{\\{#([A-Za-z.]+)}}(.*?)\\{\\{/\\1}}").matcher(text);
        StringBuilder withoutSections = new StringBuilder();
        while (section.find()) {
            boolean present = Wire.find("setting." + section.group(1)) != null;
            section.appendReplacement(withoutSections, Matcher.quoteReplacement(present ? section.group(2) : ""));
        }
        section.appendTail(withoutSections);
        Map<String, String> values = Map.of(
                "NodeName", router.name(),
                "zone", router.zone(),
                "Ip", router.host(),
                "Listen.Front", router.host() + ":" + router.frontPort(),
                "Listen.Ready", router.host() + ":" + router.readyPort(),
                "Listen.Directory", router.host() + ":" + router.directoryPort(),
                "PortRange.0", Integer.toString(router.peerPort()),
                "Platform.Address", store);
        Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z.0-9]+)}}").matcher(withoutSections);
        StringBuilder filled = new StringBuilder();
        while (placeholder.find()) {
            String name = placeholder.group(1);
            String value = values.containsKey(name) ? values.get(name) : Wire.get("setting." + name);
            placeholder.appendReplacement(filled, Matcher.quoteReplacement(value));
        }
        placeholder.appendTail(filled);
        return filled.toString();
    }

    /**
     * Addresses of a router.
     *
     * @param name name of the process
     * @param zone zone
     * @param host loopback address
     * @param frontPort port for requesters
     * @param readyPort port of the readiness page
     * @param directoryPort port of the page of addresses
     * @param peerPort port between routers
     */
    record RouterAddress(
            String name, String zone, String host, int frontPort, int readyPort, int directoryPort, int peerPort) {

        /** Picks free ports; the peer port has to be the same for all routers of a case. */
        static RouterAddress of(String name, String zone, String host, int peerPort) throws IOException {
            return new RouterAddress(name, zone, host, freePort(host), freePort(host), freePort(host), peerPort);
        }
    }
}
