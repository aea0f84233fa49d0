# Plots the share of requests answered in time for each scenario and policy from build/bench-flows.tsv; run with
# `make bench-flows-plot`.
set terminal svg size 1100,420 dynamic font "sans,11"
set output "docs/bench-flows.svg"
set datafile separator "\t"
set key below maxrows 1
set grid ytics
set yrange [0:1]
set ylabel "answered in time"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
plot "build/bench-flows.tsv" using 2:xtic(1) title "omniscient", "" using 3 title "deadline", \
  "" using 4 title "newest-first", "" using 5 title "hash", \
  "" using 6 title "deadline-budget", "" using 7 title "weighted"
