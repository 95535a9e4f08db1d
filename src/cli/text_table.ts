/** Text of another origin without characters that steer a terminal. */
export function printable(text: string): string {
  return text.replace(/\p{Cc}/gu, ' ');
}

/** Lays rows out in columns below their headings. */
export function textTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows].map(row =>
    row.map(cell => (cell === undefined ? '' : printable(String(cell)))),
  );
  const widths = headings.map((unusedHeading, column) =>
    Math.max(...cells.map(row => row[column].length)),
  );
  return cells
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Unix time in ms as ISO 8601 text. */
export function timeText(timeMs: number): string {
  const time = new Date(timeMs);
  return Number.isNaN(time.getTime()) ? '' : time.toISOString();
}
