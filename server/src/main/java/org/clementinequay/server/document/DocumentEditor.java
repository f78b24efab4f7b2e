package org.clementinequay.server.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.VersionState;

/** Edits values in the text of a document without changing its layout and comments. */
public final class DocumentEditor {
  private DocumentEditor() {}

  /**
   * Returns the text with the state and share of a version replaced.
   *
   * @param share share of new sessions from 0 to 1; 0 unless the state is rolling-out
   * @return empty if the text is not a document with that version
   */
  public static Optional<String> withVersionState(
      String text, ModelVersion version, VersionState state, double share) {
    return LocatedValueReader.read(text, new ArrayList<>())
        .flatMap(root -> versionObject(root, version))
        .map(object -> replaceState(text, object, state, share));
  }

  private static Optional<LocatedValue.ObjectValue> versionObject(
      LocatedValue root, ModelVersion version) {
    return itemNamed(root, "models", version.model())
        .flatMap(model -> itemNamed(model, "versions", version.version()))
        .filter(object -> object.members().containsKey("state"));
  }

  private static Optional<LocatedValue.ObjectValue> itemNamed(
      LocatedValue owner, String list, String name) {
    List<LocatedValue> items =
        owner.find("/" + list).orElse(owner) instanceof LocatedValue.ArrayValue array
            ? array.items()
            : List.of();
    for (LocatedValue item : items) {
      if (item instanceof LocatedValue.ObjectValue object
          && object.find("/name").orElse(object) instanceof LocatedValue.StringValue text
          && text.text().equals(name)) {
        return Optional.of(object);
      }
    }
    return Optional.empty();
  }

  private static String replaceState(
      String text, LocatedValue.ObjectValue object, VersionState state, double share) {
    LocatedValue.Location stateLocation = object.members().get("state").value().location();
    String newState = "\"" + state.label() + "\"";
    String newShare = formatNumber(share);
    LocatedValue.Member shareMember = object.members().get("share");
    if (shareMember == null) {
      String added = share == 0 ? "" : ", \"share\": " + newShare;
      return splice(text, stateLocation, newState + added);
    }
    LocatedValue.Location shareLocation = shareMember.value().location();
    // Replaces the later value first, so that the offsets of the earlier one stay valid.
    return shareLocation.start() > stateLocation.start()
        ? splice(splice(text, shareLocation, newShare), stateLocation, newState)
        : splice(splice(text, stateLocation, newState), shareLocation, newShare);
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value)
        ? String.format(Locale.ROOT, "%.0f", value)
        : Double.toString(value);
  }

  private static String splice(String text, LocatedValue.Location location, String replacement) {
    return text.substring(0, location.start()) + replacement + text.substring(location.end());
  }
}
