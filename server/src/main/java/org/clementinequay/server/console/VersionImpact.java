package org.clementinequay.server.console;

import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.AccessPolicy;
import org.clementinequay.core.config.Cascade;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.Model;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.VersionState;

/** Describes what a change of a version's state affects. */
final class VersionImpact {
  private VersionImpact() {}

  /** Returns one sentence for each effect: on sessions, accounts, cascades and upstreams. */
  static List<String> of(
      RouterConfiguration configuration, ModelVersion version, VersionState newState) {
    List<String> sentences = new ArrayList<>();
    if (!newState.acceptsBoundSessions()) {
      sentences.add("Sessions bound to " + version + " are refused from now on.");
    }
    if (!newState.acceptsNewSessions()) {
      sentences.add("New sessions get other versions of " + version.model() + ".");
    }
    addAccountImpact(configuration, version, sentences);
    List<String> cascades =
        configuration.cascades().stream()
            .filter(cascade -> cascade.models().contains(version.model()))
            .map(Cascade::name)
            .toList();
    if (!cascades.isEmpty()) {
      sentences.add("Cascades that try the model: " + String.join(", ", cascades) + ".");
    }
    List<String> upstreams =
        configuration.upstreams().stream()
            .filter(upstream -> upstream.serves().contains(version.toString()))
            .map(Upstream::name)
            .toList();
    sentences.add("Upstreams that serve it: " + listOrNone(upstreams) + ".");
    if (newState != VersionState.LIVE && isOnlyLive(configuration, version)) {
      sentences.add("It is the only live version of its model.");
    }
    return sentences;
  }

  private static void addAccountImpact(
      RouterConfiguration configuration, ModelVersion version, List<String> sentences) {
    AccessPolicy policy = new AccessPolicy(configuration);
    List<ClientAccount> allowed =
        configuration.accounts().stream()
            .filter(account -> policy.allowsVersion(account, version))
            .toList();
    sentences.add(
        "Accounts that may use it: "
            + listOrNone(allowed.stream().map(ClientAccount::name).toList())
            + ".");
    List<String> pinned =
        allowed.stream()
            .filter(account -> !account.models().contains(version.model()))
            .map(ClientAccount::name)
            .toList();
    if (!pinned.isEmpty()) {
      sentences.add("Accounts pinned to versions: " + String.join(", ", pinned) + ".");
    }
  }

  private static boolean isOnlyLive(RouterConfiguration configuration, ModelVersion version) {
    Model model = configuration.model(version.model()).orElseThrow();
    return model.versions().stream()
        .filter(other -> other.state() == VersionState.LIVE)
        .allMatch(other -> other.name().equals(version.version()));
  }

  private static String listOrNone(List<String> names) {
    return names.isEmpty() ? "none" : String.join(", ", names);
  }
}
