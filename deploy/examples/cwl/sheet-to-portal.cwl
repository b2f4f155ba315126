# From scanned herbarium sheets to records in the portal: sheets are cut into
# tiles, scans checked against the colour target by two instruments, names
# matched to the accepted flora, and the records that are good published.
cwlVersion: v1.2
$namespaces:
  oliveshift: https://oliveshift.example/cwl#
$graph:
  - id: main
    class: Workflow
    requirements:
      ScatterFeatureRequirement: {}
      InlineJavascriptRequirement: {}
      StepInputExpressionRequirement: {}
    hints:
      oliveshift:Placement: {team: transcription, urgency: low}
    inputs:
      sheets: File[]
      flora: File
      instruments:
        type: string[]
        default: [reflectance, transmission]
    outputs:
      records:
        type: File[]
        outputSource: publish/record
    steps:
      split:
        run: "#tile-split"
        scatter: sheet
        in: {sheet: sheets}
        out: [tiles]
      check:
        run: "#color-check"
        scatter: [tiles, instrument]
        scatterMethod: flat_crossproduct
        in: {tiles: split/tiles, instrument: instruments}
        out: [report]
      match:
        run: "#taxon-match"
        in:
          reports: check/report
          flora: flora
        out: [names, worth_publishing]
      publish:
        run: "#publish-batch"
        when: $(inputs.worth_publishing)
        in:
          names: match/names
          worth_publishing: match/worth_publishing
        out: [record]

  - id: tile-split
    class: CommandLineTool
    baseCommand: [tile-split, --levels, "5"]
    requirements:
      DockerRequirement: {dockerPull: imaging/tiles}
      ResourceRequirement: {coresMin: 1, ramMin: 3200}
    hints:
      oliveshift:Placement: {class_of_work: tile-split, estimate_s: 15, image_gb: 1.2}
    inputs:
      sheet: {type: File, inputBinding: {position: 1}}
    outputs:
      tiles: {type: File, outputBinding: {glob: "*.tiles"}}

  - id: color-check
    class: CommandLineTool
    baseCommand: color-check
    requirements:
      DockerRequirement: {dockerPull: imaging/color}
      ResourceRequirement: {coresMin: 2, ramMin: 6400}
      ToolTimeLimit: {timelimit: 600}
    hints:
      oliveshift:Placement: {class_of_work: color-check, estimate_s: 25, image_gb: 1.8}
    temporaryFailCodes: [75]
    inputs:
      tiles: {type: File, inputBinding: {position: 1}}
      instrument: {type: string, inputBinding: {prefix: --instrument=, separate: false}}
    stdout: report.json
    outputs:
      report: stdout

  - id: taxon-match
    class: CommandLineTool
    baseCommand: taxon-match
    requirements:
      InlineJavascriptRequirement: {}
      DockerRequirement: {dockerPull: imaging/taxa}
      ResourceRequirement: {coresMin: 2, ramMin: 6400}
    hints:
      oliveshift:Placement: {class_of_work: taxon-match, urgency: normal, estimate_s: 20, image_gb: 2.5}
    inputs:
      reports:
        type:
          type: array
          items: File
          inputBinding: {prefix: --report}
      flora: {type: File, inputBinding: {prefix: --flora, position: 1}}
    outputs:
      names: {type: File, outputBinding: {glob: names.csv}}
      worth_publishing:
        type: boolean
        outputBinding:
          glob: matched.txt
          loadContents: true
          outputEval: $(parseInt(self[0].contents) > 0)

  - id: publish-batch
    class: CommandLineTool
    baseCommand: publish-batch
    requirements:
      DockerRequirement: {dockerPull: imaging/publish}
      ResourceRequirement: {coresMin: 1, ramMin: 3200}
    hints:
      oliveshift:Placement: {class_of_work: publish-batch, urgency: high, estimate_s: 8, image_gb: 0.9, deadline_s: 150}
    inputs:
      names: {type: File, inputBinding: {position: 1}}
    outputs:
      record: {type: "File[]", outputBinding: {glob: "records/*.json"}}
